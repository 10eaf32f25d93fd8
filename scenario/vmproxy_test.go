package scenario

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"net/http/httputil"
	"net/url"
	"strconv"

	"github.com/hickorybank/hickorybank/internal/platform/client/wire"
)

// newVMProxy starts a reverse proxy between one process and the platform. It rewrites the VM
// list so that VMs reach each other through relays, which the scenario can cut for each pair.
func newVMProxy(n *network, platform string) *httptest.Server {
	proxy := httputil.NewSingleHostReverseProxy(&url.URL{Scheme: "http", Host: platform})
	proxy.FlushInterval = -1
	proxy.ModifyResponse = func(resp *http.Response) error {
		request := resp.Request
		if request.Method != http.MethodGet || request.URL.Path != wire.PathVMs || resp.StatusCode != http.StatusOK {
			return nil
		}
		return rerouteList(n, resp)
	}
	// If the platform is down, the connection is aborted, as without the proxy.
	proxy.ErrorHandler = func(http.ResponseWriter, *http.Request, error) { panic(http.ErrAbortHandler) }
	return httptest.NewServer(wholeRequests(proxy))
}

// wholeRequests reads each request's body before its handler runs. A reverse proxy that still
// reads the body when the answer begins finds it closed, and breaks the answer off.
func wholeRequests(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body)
		if err != nil {
			panic(http.ErrAbortHandler)
		}
		r.Body = io.NopCloser(bytes.NewReader(body))
		next.ServeHTTP(w, r)
	})
}

func rerouteList(n *network, resp *http.Response) error {
	var list wire.VMsResponse
	if err := json.NewDecoder(resp.Body).Decode(&list); err != nil {
		return err
	}
	_ = resp.Body.Close()
	for i := range list.VMs {
		vm := &list.VMs[i]
		if err := reroute(n, vm.ID, &vm.Addr); err != nil {
			return err
		}
		if err := reroute(n, vm.ID, &vm.Peer); err != nil {
			return err
		}
	}
	data, err := json.Marshal(list)
	if err != nil {
		return err
	}
	resp.Body = io.NopCloser(bytes.NewReader(data))
	resp.ContentLength = int64(len(data))
	resp.Header.Set("Content-Length", strconv.Itoa(len(data)))
	return nil
}

func reroute(n *network, to string, addr *string) error {
	if *addr == "" {
		return nil
	}
	relayed, err := n.route("", to, *addr)
	*addr = relayed
	return err
}
