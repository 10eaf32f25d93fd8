package rollout

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"

	"github.com/hickorybank/hickorybank/internal/upstream"
	"github.com/hickorybank/hickorybank/internal/upstream/client"
)

// countingListener counts the bytes of its connections in both directions.
type countingListener struct {
	net.Listener
	bytes *atomic.Int64
}

func (l countingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	return countingConn{c, l.bytes}, err
}

type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (c countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.bytes.Add(int64(n))
	return n, err
}

func (c countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.bytes.Add(int64(n))
	return n, err
}

// BenchmarkReadState measures one read of an engine's state with 24 versions over
// loopback; the time includes both ends.
func BenchmarkReadState(b *testing.B) {
	d := newSweptDriver(b, 1)
	var transferred atomic.Int64
	s := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_ = json.NewEncoder(w).Encode(upstream.EngineState{Fence: 7, Versions: d.versions})
	}))
	s.Listener = countingListener{s.Listener, &transferred}
	s.Start()
	defer s.Close()
	engines := client.NewEngines(client.Options{})
	defer engines.Close()
	addr := s.Listener.Addr().String()
	b.ResetTimer()
	for range b.N {
		if _, err := engines.State(context.Background(), addr); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(transferred.Load())/float64(b.N), "wire-B/op")
}
