package gateway

import (
	"net"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/matryer/is"

	"github.com/hickorybank/hickorybank/internal/cascade"
)

// Fails if a smaller model's uncertain answer is dropped although no larger model may or can answer.
func TestUncertainAnswerIsKeptWithoutAnother(t *testing.T) {
	tests := []struct {
		name      string
		upstreams int
		budget    float64
		resumable bool
		attempts  int
	}{
		{"another upstream", 2, 100, true, 2},
		{"may run once only", 2, 100, false, 1},
		{"no other upstream", 1, 100, true, 1},
		{"retry budget spent", 2, 0, true, 1},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			answer := func(c net.Conn) { reply(c, http.StatusOK, streamText(1, 2)) }
			d := pipeDialer{"u0": answer, "u1": answer}
			if test.upstreams == 1 {
				delete(d, "u1")
			}
			n := newPipeNode(d, test.budget)
			n.dialect = unsureDialect{}
			n.cascadePolicy = cascade.New(cascade.Settings{Accept: 60, AcceptBusy: 60, AcceptFull: 60})
			w := httptest.NewRecorder()
			j := newStreamJob(t, n, w)
			j.route.Resumable, j.route.Models, j.model = test.resumable, []string{"small", "large"}, "small"
			j.run()
			is.Equal(w.Code, http.StatusOK)
			is.Equal(w.Body.String(), streamText(1, 2))
			is.Equal(j.attemptsReached, test.attempts)
		})
	}
}
