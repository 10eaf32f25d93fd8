package gateway

import (
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/hickorybank/hickorybank/internal/canary"
	"github.com/hickorybank/hickorybank/internal/route"
)

// newSoakJob returns a node that sends all sessions of a service to v2 since a time, and a request
// for the service.
func newSoakJob(since time.Time, s route.Service) (*Node, *job) {
	n := newExplainNode(since.Add(-30 * time.Second))
	n.config.Store(&configuration{Table: route.New(8, route.Limits{}, nil, []route.Service{s}, nil)})
	n.canary.Merge(canary.Tally{Service: s.Name, Revision: 1, Node: "n2", Born: 1, Seq: 1, Shifted: true}, since)
	j := &job{node: n, config: n.config.Load(), route: &route.Route{Kind: route.Idempotent, Shares: []route.Share{{Service: s.Name}}}}
	j.identify(http.MethodGet, "/records/1")
	return n, j
}

// Fails if a new version of a plain service gets no more load than usual before it is completed, if
// one of its upstreams gets none, or if a retry leaves the version although another one can serve.
func TestSoakLoadsFewUpstreamsOfAPlainService(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	n, j := newSoakJob(now, route.Service{Name: "engine"})
	served := map[string]bool{}
	for age := 500 * time.Millisecond; age < 2*time.Second; age += 400 * time.Millisecond {
		at := now.Add(age)
		first := n.place(j, n.canary.Rule("engine", j.caller(), at), "", at)
		is.Equal(first.spec.MaxUpstreams, 1) // of two
		is.Equal(first.upstream.Version, "v2")
		served[first.upstream.ID] = true
		j.tried = []string{first.upstream.ID}
		second := n.place(j, n.canary.Rule("engine", j.caller(), at), "", at)
		is.Equal(second.upstream.Version, "v2")
		is.True(second.upstream.ID != first.upstream.ID)
		j.tried = nil
	}
	is.Equal(len(served), 2)
}

// Fails if a soak loads engines above the load of the moment: each request slows down all others.
func TestSoakLeavesEnginesAsTheyAre(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	n, j := newSoakJob(now, route.Service{Name: "engine", Engine: &route.Engine{}})
	at := now.Add(time.Second)
	p := n.place(j, n.canary.Rule("engine", j.caller(), at), "", at)
	is.Equal(p.upstream.Version, "v2")
	is.Equal(p.spec.MaxUpstreams, 0)
	is.Equal(p.soak, nil)
}
