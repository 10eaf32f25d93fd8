package client

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
)

// relayingDialer marks its connections as relayed, and counts them.
type relayingDialer struct {
	mu     sync.Mutex
	opened int
}

type relayedTestConn struct{ net.Conn }

func (relayedTestConn) Relayed() bool { return true }

func (d *relayingDialer) Dial(ctx context.Context, addr string) (net.Conn, error) {
	d.mu.Lock()
	d.opened++
	d.mu.Unlock()
	c, err := (&net.Dialer{}).DialContext(ctx, "tcp4", addr)
	return relayedTestConn{c}, err
}

// Fails if a relayed connection is kept for further requests: its peer may stop at any time.
func TestRelayedConnectionCarriesOneRequest(t *testing.T) {
	is := is.New(t)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("{}")) }))
	defer server.Close()
	d := &relayingDialer{}
	e := NewEngines(Options{Dialer: d})
	defer e.Close()
	for range 3 {
		_, err := e.Load(t.Context(), strings.TrimPrefix(server.URL, "http://"))
		is.NoErr(err)
	}
	is.Equal(d.opened, 3)
}

// Fails if connections over sound links, or those on which bytes pass, are closed with those over
// a lost link.
func TestOnlySilentConnectionsOverLostLinksAreClosed(t *testing.T) {
	is := is.New(t)
	o := newOpenConns(nil)
	conns := map[string]*sealableConn{}
	for _, addr := range []string{"lost", "busy", "sound"} {
		a, b := net.Pipe()
		defer func() { _ = b.Close() }() // the test ends
		conns[addr] = o.add(addr, a)
	}
	later := time.Now().Add(silentAfter)
	conns["busy"].activeAt.Store(later.UnixNano())
	o.closeSilent(func(addr string) bool { return addr != "sound" }, later)
	is.Equal(len(o.conns), 2)
	_, open := o.conns[conns["lost"]]
	is.True(!open)
}
