package gateway

import (
	"bufio"
	"context"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/hickorybank/hickorybank/internal/exchange"
	"github.com/hickorybank/hickorybank/internal/fleet"
	"github.com/hickorybank/hickorybank/internal/route"
	"github.com/hickorybank/hickorybank/internal/telemetry"
)

// plainDialect sends no headers of its own and reads none.
type plainDialect struct{ Dialect }

func (plainDialect) Forward(http.Header, *CallerHeaders, *ForwardHeaders) []exchange.Field {
	return nil
}
func (plainDialect) Reply(int, http.Header) Reply { return Reply{} }
func (plainDialect) IDField() string              { return "X-Id" }

// onePipe is a connection for one exchange.
type onePipe struct{ net.Conn }

func (onePipe) Relayed() bool { return true }

// pipeDialer opens pipes to upstreams by address. Each serves one request on each.
type pipeDialer map[string]func(c net.Conn)

func (d pipeDialer) Dial(_ context.Context, addr string) (net.Conn, error) {
	ours, theirs := net.Pipe()
	go func() {
		defer func() { _ = theirs.Close() }()
		if _, err := http.ReadRequest(bufio.NewReader(theirs)); err == nil {
			d[addr](theirs)
		}
	}()
	return onePipe{ours}, nil
}

// reply writes a whole response.
func reply(c net.Conn, status int, body string) {
	_, _ = fmt.Fprintf(c, "HTTP/1.1 %d x\r\nContent-Length: %d\r\n\r\n%s", status, len(body), body) // the reader may have left
}

// newPlainNode returns a node with a plain service at the dialer's upstreams, whose usual
// response time it knows. The upstreams after the first one are loaded.
func newPlainNode(d pipeDialer, budget float64) *Node {
	n := newPipeNode(d, budget)
	now := time.Now()
	spec := fleet.AttemptSpec{Service: "s", Plain: true}
	for range 20 {
		u := n.fleet.Get("u0")
		w := n.fleet.Begin(u, &spec, now)
		n.fleet.ResponseStarted(u, w, now.Add(time.Millisecond))
		n.fleet.End(u, w, fleet.Served, now.Add(time.Millisecond))
	}
	return n
}

// newPipeNode returns a node with a service at the dialer's upstreams. The upstreams after the
// first one are loaded.
func newPipeNode(d pipeDialer, budget float64) *Node {
	n := New(Settings{ID: "n", RetrySlack: budget, RetryWindow: 10 * time.Second}, Deps{
		Dialect: plainDialect{}, Upstreams: d, Log: slog.New(slog.DiscardHandler), Metrics: telemetry.New(telemetry.Bounds{}),
	})
	now := time.Now()
	for i := range len(d) {
		addr := fmt.Sprintf("u%d", i)
		n.fleet.Put(fleet.Record{ID: addr, Addr: addr, Service: "s", Version: "v1", Slots: 6}, now.Add(-time.Minute))
		n.fleet.ReportLoad(n.fleet.Get(addr), i*6, i*6, now)
	}
	return n
}

// call runs one request of the service at the node.
func call(n *Node, kind route.Kind) (*httptest.ResponseRecorder, *job) {
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	to := &route.Route{Name: "r", Kind: kind, Shares: []route.Share{{Service: "s", Weight: 1}}, MaxAttempts: 2, LatencyGoal: time.Second}
	w, now := httptest.NewRecorder(), time.Now()
	j := &job{
		node: n, w: w, r: httptest.NewRequest(http.MethodGet, "http://h/x", nil).WithContext(ctx), ctx: ctx, route: to, service: "s",
		config: &configuration{Table: route.New(1, route.Limits{}, []*route.Route{to}, []route.Service{{Name: "s"}}, nil)},
		start:  now, deadline: now.Add(10 * time.Second),
	}
	j.run()
	return w, j
}

// Fails if a late answer is delivered in place of the first whole one, or work that may be
// repeated stays with a silent upstream.
func TestSilentAttemptGoesElsewhere(t *testing.T) {
	is := is.New(t)
	answered := make(chan struct{})
	n := newPlainNode(pipeDialer{
		"u0": func(c net.Conn) { <-answered; reply(c, http.StatusOK, "late") },
		"u1": func(c net.Conn) { reply(c, http.StatusOK, "first"); close(answered) },
	}, 100)
	w, j := call(n, route.Idempotent)
	is.Equal(w.Code, http.StatusOK)
	is.Equal(w.Body.String(), "first")
	is.Equal(j.attemptsReached, 2)
}

// Fails if a request that may run once only is sent twice, or the retry budget is exceeded.
func TestSilentAttemptWaitsWhereItMayNotMove(t *testing.T) {
	tests := []struct {
		name   string
		kind   route.Kind
		budget float64
	}{
		{"runs once only", route.Once, 100},
		{"retry budget spent", route.Idempotent, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			var n *Node
			n = newPlainNode(pipeDialer{
				"u0": func(c net.Conn) {
					for first := false; !first; { // until the node has noted the silence
						n.mu.Lock()
						first = n.fleet.IsSilent(n.fleet.Get("u0"), time.Now())
						n.mu.Unlock()
					}
					reply(c, http.StatusOK, "slow")
				},
				"u1": func(c net.Conn) { reply(c, http.StatusOK, "second run") },
			}, test.budget)
			w, j := call(n, test.kind)
			is.Equal(w.Body.String(), "slow")
			is.Equal(j.attemptsReached, 1)
		})
	}
}

// Fails if a repeatable request is not tried again because the only upstream left has answered
// it with an error.
func TestErrorIsTriedAgainAtTheOnlyUpstream(t *testing.T) {
	is := is.New(t)
	var served atomic.Int32
	n := newPlainNode(pipeDialer{"u0": func(c net.Conn) {
		if served.Add(1) == 1 {
			reply(c, http.StatusInternalServerError, "error")
			return
		}
		reply(c, http.StatusOK, "answer")
	}}, 100)
	w, j := call(n, route.Idempotent)
	is.Equal(w.Body.String(), "answer")
	is.Equal(j.attemptsReached, 2)
}
