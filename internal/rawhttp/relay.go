package rawhttp

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"

	"github.com/rotisserie/eris"
	"github.com/sourcegraph/conc"
)

// attemptHeader names an attempt towards an engine.
const attemptHeader = "X-Attempt-Id"

// Relay is the least that stands between a caller and an upstream with
// net/http: the body read, one request on, the bytes passed on as they come.
type Relay struct {
	listener  net.Listener
	server    *http.Server
	transport *http.Transport
	to        string
	serving   conc.WaitGroup
}

// NewRelay starts a relay to a host and port.
func NewRelay(to string) (*Relay, error) {
	listener, err := net.Listen("tcp", loopback)
	if err != nil {
		return nil, eris.Wrap(err, "listen")
	}
	r := &Relay{listener: listener, to: to, transport: &http.Transport{MaxIdleConnsPerHost: 64, DisableCompression: true}}
	r.server = &http.Server{Handler: r}
	r.serving.Go(func() { _ = r.server.Serve(listener) }) // returns when closed
	return r, nil
}

// Addr is the host and port that the relay listens on.
func (r *Relay) Addr() string { return r.listener.Addr().String() }

// ServeHTTP relays one request.
func (r *Relay) ServeHTTP(w http.ResponseWriter, in *http.Request) {
	body, err := io.ReadAll(in.Body)
	if err != nil {
		return
	}
	out, err := http.NewRequestWithContext(in.Context(), in.Method, "http://"+r.to+in.URL.Path, bytes.NewReader(body))
	if err != nil {
		return
	}
	out.Header.Set(attemptHeader, in.Header.Get(attemptHeader))
	res, err := r.transport.RoundTrip(out)
	if err != nil {
		w.WriteHeader(http.StatusBadGateway)
		return
	}
	defer func() { _ = res.Body.Close() }()
	w.Header()["Content-Type"] = res.Header["Content-Type"]
	flush := http.NewResponseController(w)
	buffer := make([]byte, 4<<10)
	for {
		n, err := res.Body.Read(buffer)
		_, _ = w.Write(buffer[:n])
		if err != nil {
			return
		}
		_ = flush.Flush()
	}
}

// Close ends the relay when its requests have ended.
func (r *Relay) Close() {
	_ = r.server.Shutdown(context.Background())
	r.serving.Wait()
	r.transport.CloseIdleConnections()
}
