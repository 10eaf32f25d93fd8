package unframed

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Fails if an answer that is broken off looks complete to a caller whose protocol has no chunks, or
// a complete one is broken off.
func TestEndOfAnswerTellsWhetherItIsComplete(t *testing.T) {
	tests := []struct {
		name     string
		end      func(server *httptest.Server, w http.ResponseWriter)
		complete bool
	}{
		{"handler returns", func(*httptest.Server, http.ResponseWriter) {}, true},
		{"handler aborts", func(*httptest.Server, http.ResponseWriter) { panic(http.ErrAbortHandler) }, false},
		{"server is closed", func(s *httptest.Server, _ http.ResponseWriter) { _ = s.Config.Close() }, false},
		{"write deadline has passed", func(_ *httptest.Server, w http.ResponseWriter) {
			_ = http.NewResponseController(w).SetWriteDeadline(time.Unix(1, 0))
			_, _ = io.WriteString(w, "more")
		}, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			read := make(chan struct{})
			var server *httptest.Server
			server = httptest.NewUnstartedServer(Handler(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				_, _ = io.WriteString(w, "a part")
				_ = http.NewResponseController(w).Flush()
				<-read
				test.end(server, w)
			})))
			server.Config.ConnContext = ConnContext
			server.Start()
			defer server.Close()
			c, err := net.Dial("tcp", server.Listener.Addr().String())
			is.NoErr(err)
			defer func() { _ = c.Close() }() // the test ends
			is.NoErr(c.SetDeadline(time.Now().Add(time.Minute)))
			_, err = io.WriteString(c, "GET / HTTP/1.0\r\nHost: h\r\n\r\n")
			is.NoErr(err)
			resp, err := http.ReadResponse(bufio.NewReader(c), nil)
			is.NoErr(err)
			part := make([]byte, len("a part"))
			_, err = io.ReadFull(resp.Body, part)
			is.NoErr(err)
			close(read)
			_, err = io.ReadAll(resp.Body)
			is.Equal(err == nil, test.complete)
		})
	}
}
