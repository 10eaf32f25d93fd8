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
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	to := &route.Route{
		Name: "r", Kind: route.Stream, Resumable: true, Shares: []route.Share{{Service: "s", Weight: 1}},
		MaxAttempts: 3, LatencyGoal: 3 * time.Second, Models: []string{"small", "large"},
	}
	now := time.Now()
	j := &job{
		node: n, w: httptest.NewRecorder(), r: httptest.NewRequest(http.MethodGet, "http://h/x", nil).WithContext(ctx), ctx: ctx,
		route: to, service: "s", model: "small", start: now, deadline: now.Add(10 * time.Second),
		config: &configuration{Table: route.New(1, route.Limits{}, []*route.Route{to}, []route.Service{{Name: "s"}}, nil)},
	}
	j.run()
	is.Equal(j.attemptsReached, 2)
	is.Equal(n.canary.Tallies(time.Now())[0].Routes[0].Base, int64(2))
}
