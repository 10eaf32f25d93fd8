package node

import (
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/matryer/is"
)

// Fails if a caller reuses its connection to a stopping node. The node refuses its
// request and later closes the idle connection, while the caller's next request is in
// transit. So each refusal must carry "Connection: close", and no answer before the stop
// may.
func TestRefusalDuringStopClosesTheConnection(t *testing.T) {
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
