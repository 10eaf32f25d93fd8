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

// attemptHeader carries the ID of an attempt to an engine.
const attemptHeader = "X-Attempt-Id"

// Relay is a minimal reverse proxy built on net/http, the baseline of benchmarks. It
// reads the body, sends one request and flushes each part of the response at once.
type Relay struct {
	listener   net.Listener
	server     *http.Server
	transport  *http.Transport
	target     string
	goroutines conc.WaitGroup
}

// NewRelay starts a relay on a free loopback port to a target host and port.
func NewRelay(target string) (*Relay, error) {
	listener, err := net.Listen("tcp", loopback)
	if err != nil {
		return nil, eris.Wrap(err, "listen")
	}
	r := &Relay{listener: listener, target: target, transport: &http.Transport{MaxIdleConnsPerHost: 64, DisableCompression: true}}
	r.server = &http.Server{Handler: r}
	r.goroutines.Go(func() { _ = r.server.Serve(listener) }) // returns after Shutdown
	return r, nil
}

// Addr is the host and port that the relay listens on.
func (r *Relay) Addr() string { return r.listener.Addr().String() }

// ServeHTTP forwards one request; an unreachable target gives 502.
func (r *Relay) ServeHTTP(w http.ResponseWriter, in *http.Request) {
	body, err := io.ReadAll(in.Body)
	if err != nil {
		return
	}
	out, err := http.NewRequestWithContext(in.Context(), in.Method, "http://"+r.target+in.URL.Path, bytes.NewReader(body))
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
	controller := http.NewResponseController(w)
	buf := make([]byte, 4<<10)
	for {
		n, err := res.Body.Read(buf)
		_, _ = w.Write(buf[:n])
		if err != nil {
			return
		}
		_ = controller.Flush()
	}
}

// Close waits for running requests and stops the relay.
func (r *Relay) Close() {
	_ = r.server.Shutdown(context.Background())
	r.goroutines.Wait()
	r.transport.CloseIdleConnections()
}
