package gateway

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/hickorybank/hickorybank/internal/route"
)

// Fails if an attempt that has used half of its time is ended although no other one may follow, or
// goes on although another one can.
func TestLateAttemptGoesOnWhereItCannotMove(t *testing.T) {
	tests := []struct {
		name      string
		upstreams int
		budget    float64
		body      string
	}{
		{"no other upstream", 1, 100, "late"},
		{"retry budget spent", 2, 0, "late"},
		{"another upstream", 2, 100, "second run"},
	}
	for _, test := range tests {
		for _, started := range []bool{false, true} {
			t.Run(test.name, func(t *testing.T) {
				is := is.New(t)
				var n *Node
				d := pipeDialer{
					"u0": func(c net.Conn) {
						if started {
							startStream(c, "la")
						}
						for n.lateAttempts() < 1 {
							pause(context.Background(), time.Millisecond)
						}
						switch {
						case test.body != "late":
							_, _ = c.Read(make([]byte, 1)) // until the node closes the connection
						case started:
							sendChunk(c, "te")
							sendChunk(c, "")
						default:
							reply(c, http.StatusOK, "late")
						}
					},
					"u1": func(c net.Conn) { reply(c, http.StatusOK, "second run") },
				}
				if test.upstreams == 1 {
					delete(d, "u1")
				}
				n = newPipeNode(d, test.budget)
				w := httptest.NewRecorder()
				j := newStreamJob(t, n, w)
				j.route.Kind, j.deadline = route.Idempotent, time.Now().Add(200*time.Millisecond)
				j.run()
				is.Equal(w.Code, http.StatusOK)
				is.Equal(w.Body.String(), test.body)
			})
		}
	}
}

// lateAttempts returns how many attempts of the node have used half of their time.
func (n *Node) lateAttempts() uint64 {
	return n.metrics.Counter("hickorybank_late_attempts_total", "service", "s").Get()
}
