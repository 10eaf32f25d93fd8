package api

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/hickorybank/hickorybank/internal/example"
	"github.com/hickorybank/hickorybank/internal/request"
	"github.com/hickorybank/hickorybank/internal/upstream"
)

// longRouter is a Router whose answers exceed the buffers of a connection.
type longRouter struct{ *fakeRouter }

func (longRouter) Chat(_ context.Context, _ ChatCall, sink request.Sink) (request.Answer, error) {
	sink.Begin(request.Head{Version: "dues@1"})
	return request.Answer{Version: "dues@1", FinishReason: "stop"}, sink.Text(1, strings.Repeat("x", 16<<20))
}

func (longRouter) Service(context.Context, ServiceCall) (upstream.ServiceAnswer, error) {
	return upstream.ServiceAnswer{Status: http.StatusOK, Body: make([]byte, 16<<20)}, nil
}

// Fails if an answer that the server breaks off looks complete to a caller whose protocol has no
// chunks.
func TestAnswerThatIsBrokenOffNeverLooksComplete(t *testing.T) {
	tests := []struct{ name, method, path, body string }{
		{"call of a service", http.MethodGet, "/v1/services/billing/receipts/1", ""},
		{"chat", http.MethodPost, "/v1/chat/completions", goodChat},
	}
	for _, test := range tests {
		for _, proto := range []string{"HTTP/1.0", "HTTP/1.1"} {
			t.Run(proto+" "+test.name, func(t *testing.T) {
				is := is.New(t)
				server := httptest.NewServer(New(longRouter{newFakeRouter(t)}))
				defer server.Close()
				c, err := net.Dial("tcp", server.Listener.Addr().String())
				is.NoErr(err)
				defer func() { _ = c.Close() }() // the test ends
				is.NoErr(c.SetDeadline(time.Now().Add(time.Minute)))
				_, err = fmt.Fprintf(c, "%s %s %s\r\nHost: h\r\nConnection: close\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n\r\n%s",
					test.method, test.path, proto, example.DemoKey("cartagena"), len(test.body), test.body)
				is.NoErr(err)
				resp, err := http.ReadResponse(bufio.NewReader(c), nil)
				is.NoErr(err)
				is.Equal(resp.StatusCode, http.StatusOK)
				server.CloseClientConnections() // as at the end of a stop
				_, err = io.ReadAll(resp.Body)
				is.True(err != nil)
			})
		}
	}
}
