package node

import (
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/matryer/is"
)

// A caller keeps its connection to an entry that stops. The entry refuses its
// request as not run and later closes what it takes for idle; the caller's next
// request is on its way then and meets a closed connection. So each refusal must
// name the end of its connection, and no answer before it.
func TestRefusalNamesTheEndOfItsConnection(t *testing.T) {
	is := is.New(t)
	var s stopping
	server := httptest.NewServer(s.closing(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {})))
	defer server.Close()
	ends := func() bool {
		resp, err := server.Client().Get(server.URL)
		is.NoErr(err)
		is.NoErr(resp.Body.Close())
		return resp.Close
	}
	is.True(!ends())
	s.refuses.Store(true)
	is.True(ends())
}
