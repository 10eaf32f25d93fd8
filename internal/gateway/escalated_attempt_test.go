package gateway

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/hickorybank/hickorybank/internal/canary"
	"github.com/hickorybank/hickorybank/internal/cascade"
	"github.com/hickorybank/hickorybank/internal/route"
)

// newStreamJob returns a request for a resumable stream of the node's service.
func newStreamJob(t *testing.T, n *Node, w http.ResponseWriter) *job {
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	t.Cleanup(cancel)
	to := &route.Route{
		Name: "r", Kind: route.Stream, Resumable: true, Shares: []route.Share{{Service: "s", Weight: 1}},
		MaxAttempts: 3, LatencyGoal: 3 * time.Second, GapGoal: 50 * time.Millisecond,
	}
	now := time.Now()
	return &job{
		node: n, w: w, r: httptest.NewRequest(http.MethodGet, "http://h/x", nil).WithContext(ctx), ctx: ctx,
		route: to, service: "s", start: now, deadline: now.Add(time.Minute),
		config: &configuration{Table: route.New(1, route.Limits{}, []*route.Route{to}, []route.Service{{Name: "s"}}, nil)},
	}
}

// unsureDialect reads an upstream's least confidence from each answer.
type unsureDialect struct{ plainDialect }

func (unsureDialect) Reply(int, http.Header) Reply { return Reply{HasConfidence: true} }

// Fails if an attempt does not count in the comparison of versions because a larger model
// answers in its place.
func TestEscalatedAttemptCountsForItsVersion(t *testing.T) {
	is := is.New(t)
	event := func(c net.Conn) {
		reply(c, http.StatusOK, "id: 1\ndata: x\n\n")
		_, _ = c.Read(make([]byte, 1)) // until the node closes the connection
	}
	n := newPipeNode(pipeDialer{"u0": event, "u1": event}, 100)
	n.dialect = unsureDialect{}
	n.cascadePolicy = cascade.New(cascade.Settings{Accept: 60, AcceptBusy: 60, AcceptFull: 60})
	is.True(n.canary.AddOrder(canary.Order{Service: "s", Target: "v2", Limit: time.Minute, Revision: 1}, time.Now()))
	j := newStreamJob(t, n, httptest.NewRecorder())
	j.route.Models, j.model = []string{"small", "large"}, "small"
	j.run()
	is.Equal(j.attemptsReached, 2)
	is.Equal(n.canary.Tallies(time.Now())[0].Routes[0].Base, int64(2))
}
