package gateway

import (
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/matryer/is"

	"github.com/hickorybank/hickorybank/internal/crashguard"
	"github.com/hickorybank/hickorybank/internal/route"
)

// keyOf returns the key by which a request is known that crashes upstreams.
func keyOf(method, routeHost, target, org, body string) crashguard.Key {
	r := httptest.NewRequest(method, "/", nil)
	r.RequestURI = target
	j := &job{r: r, route: &route.Route{Host: routeHost, Shares: []route.Share{{Service: "s"}}}, orgName: org, body: []byte(body)}
	_, target = rawTarget(r)
	j.identify(method, target)
	return j.chain.Request()[0]
}

// Fails if the answers to other requests acquit one that crashes upstreams, as they differ from it
// only in the query, method, host, organisation or body.
func TestDifferentRequestsHaveDifferentRequestKeys(t *testing.T) {
	is := is.New(t)
	seen := map[crashguard.Key]bool{}
	count := 0
	for _, method := range []string{http.MethodGet, http.MethodHead, http.MethodPost} {
		for _, host := range []string{"a.example", "b.example"} {
			for _, target := range []string{"/r", "/r?", "/r?id=1", "/r?id=2", "/r?id=1&x", "/r/id=1"} {
				for _, org := range []string{"", "o1", "o2"} { // public routes have no organisation
					for _, body := range []string{"", "id=1"} {
						seen[keyOf(method, host, target, org, body)] = true
						count++
					}
				}
			}
		}
	}
	is.Equal(len(seen), count)
}

// Fails if a request that crashes upstreams is never convicted, as it has another key at each node
// or in each form in which it comes.
func TestOneRequestHasOneRequestKey(t *testing.T) {
	is := is.New(t)
	want := keyOf(http.MethodGet, "a.example", "/r?id=1", "o", "b")
	is.Equal(keyOf(http.MethodGet, "A.example", "/r?id=1", "o", "b"), want)
	is.Equal(keyOf(http.MethodGet, "a.example", "http://a.example:8080/r?id=1", "o", "b"), want)
	is.Equal(keyOf(http.MethodGet, "a.example", "http://A.EXAMPLE/r?id=1", "o", "b"), want)
}
