package gateway

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/hickorybank/hickorybank/internal/exchange"
	"github.com/hickorybank/hickorybank/internal/route"
)

// directDialer is a [pipeDialer] over TCP connections, which count as direct.
type directDialer struct {
	t *testing.T
	d pipeDialer
}

func (d directDialer) Dial(ctx context.Context, addr string) (net.Conn, error) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	go func() {
		defer func() { _ = l.Close() }() // one connection is served
		c, err := l.Accept()
		if err != nil {
			return
		}
		defer func() { _ = c.Close() }() // the node may have closed it
		if _, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
			d.d[addr](c)
		}
	}()
	return (&net.Dialer{}).DialContext(ctx, "tcp4", l.Addr().String())
}

// newDirectNode returns a node whose connections to the dialer's upstreams are direct.
func newDirectNode(t *testing.T, d pipeDialer, budget float64) *Node {
	n := newPlainNode(d, budget)
	n.pool = exchange.NewPool(exchange.Settings{Dialer: directDialer{t, d}})
	return n
}

// loseLinks makes the node take the links of its silent exchanges for lost until ctx ends.
func (n *Node) loseLinks(ctx context.Context) {
	for pause(ctx, time.Millisecond) {
		n.pool.AbortSilent(func(addr string) bool { return addr == "u0" }, time.Now().Add(time.Second))
	}
}

// Fails if an answer is broken off, or its request fails, because the link to its upstream counts as
// lost, though no other upstream is certain to answer.
func TestLostLinkIsLeftOnlyForAnotherUpstream(t *testing.T) {
	tests := []struct {
		name      string
		kind      route.Kind
		budget    float64
		upstreams int
		attempts  int
	}{
		{"stream, retry budget spent", route.Stream, 0, 2, 1},
		{"stream, no other upstream", route.Stream, 100, 1, 1},
		{"stream, another upstream", route.Stream, 100, 2, 2},
		{"call, retry budget spent", route.Idempotent, 0, 2, 1},
		{"call, no other upstream", route.Idempotent, 100, 1, 1},
		{"call, another upstream", route.Idempotent, 100, 2, 2},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			ctx, stop := context.WithCancel(context.Background())
			defer stop()
			answer := func(c net.Conn, from int) {
				if test.kind == route.Stream {
					startStream(c, streamText(from, 5))
					sendChunk(c, "")
					return
				}
				reply(c, http.StatusOK, streamText(1, 5))
			}
			asked := make(chan struct{})
			d := pipeDialer{
				"u0": func(c net.Conn) {
					if test.kind == route.Stream {
						startStream(c, streamText(1, 2))
					}
					if test.attempts > 1 {
						_, _ = c.Read(make([]byte, 1)) // silent until the node leaves
						return
					}
					<-asked
					if test.kind == route.Stream {
						sendChunk(c, streamText(3, 5))
						sendChunk(c, "")
						return
					}
					answer(c, 1)
				},
				"u1": func(c net.Conn) { answer(c, 3) },
			}
			if test.upstreams == 1 {
				delete(d, "u1")
			}
			n := newDirectNode(t, d, test.budget)
			w := newRecorder()
			j := newStreamJob(t, n, w)
			j.route.Kind, j.route.GapGoal, j.route.LatencyGoal = test.kind, time.Minute, time.Minute // no stall timeout
			go func() {
				if test.kind == route.Stream {
					<-w.begun
				}
				n.loseLinks(ctx)
			}()
			go func() {
				for k := 0; k < 50 && pause(ctx, time.Millisecond); k++ {
					if len(n.pool.SilentUpstreams(time.Now().Add(time.Second))) == 0 {
						k = 0 // not sent yet
					}
				}
				close(asked)
			}()
			body, complete := runStream(j)
			is.True(complete)
			is.Equal(body, streamText(1, 5))
			is.Equal(j.attemptsReached, test.attempts)
		})
	}
}
