package gateway

import (
	"encoding/json"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/hickorybank/hickorybank/internal/archive"
	"github.com/hickorybank/hickorybank/internal/gossip"
	"github.com/hickorybank/hickorybank/internal/route"
)

// outdatedCase is what a node and its peer know, and the answer to a request for a route that only
// the peer's version has.
type outdatedCase struct {
	name                    string
	peerVersion, rejected   int64
	peerDead                bool
	appliedAfter            time.Duration
	callersTime, answeredBy time.Duration
	status                  int
	reason                  string
}

// Fails if a caller gets a final 404 from a configuration that the node knows to be replaced, or
// waits although nothing newer is to be had.
func TestRouteOfANewerConfigurationIsNotDenied(t *testing.T) {
	for _, c := range []outdatedCase{
		{name: "nothing newer", peerVersion: 1, status: 404, reason: "unknown_route"},
		{name: "newer one comes", peerVersion: 2, appliedAfter: 60 * time.Millisecond, answeredBy: 100 * time.Millisecond, status: 503, reason: "no_upstream"},
		{name: "newer one doesn't come", peerVersion: 2, answeredBy: 600 * time.Millisecond, status: 503, reason: "config_outdated"},
		{name: "caller with little time", peerVersion: 2, callersTime: time.Second, answeredBy: 150 * time.Millisecond, status: 503, reason: "config_outdated"},
		{name: "newer one was rejected", peerVersion: 2, rejected: 2, status: 404, reason: "unknown_route"},
		{name: "its peer is dead", peerVersion: 2, peerDead: true, status: 404, reason: "unknown_route"},
	} {
		t.Run(c.name, func(t *testing.T) { synctest.Test(t, c.run) })
	}
}

func (c outdatedCase) run(t *testing.T) {
	is := is.New(t)
	n := newUnconfiguredNode(c.callersTime)
	table := func(version int64, routes ...*route.Route) *configuration {
		return &configuration{Table: route.New(version, route.Limits{}, routes, nil, nil), archive: archive.New(uint64(version), nil, nil)}
	}
	n.config.Store(table(1))
	n.view.listRevision = 1
	n.roster.Merge([]gossip.Member{{ID: "n2", Born: 1, Peer: "x:1", Ready: true, Beat: 1}}, time.Now())
	n.receive(gossip.Message{From: "n2", ConfigVersion: c.peerVersion, Proof: gossip.Proof{Age: noProof, OrdersAge: noProof}})
	n.rejectedVersion.Store(c.rejected)
	if c.peerDead {
		n.notePeerFailure(gossip.Member{ID: "n2"}, errTestDial)
	}
	if c.appliedAfter > 0 {
		time.AfterFunc(c.appliedAfter, func() {
			n.config.Store(table(2, &route.Route{Name: "r", Host: "h", Prefix: "/", Kind: route.Once, Timeout: 100 * time.Millisecond, Shares: []route.Share{{Service: "s", Weight: 1}}}))
		})
	}
	answer := <-serve(n)
	is.Equal(answer.Code, c.status)
	is.True(answer.after <= c.answeredBy || c.reason == "no_upstream")
	var body struct{ Reason string }
	is.NoErr(json.Unmarshal(answer.Body.Bytes(), &body))
	if c.reason == "no_upstream" {
		is.True(body.Reason != "unknown_route" && body.Reason != "config_outdated") // it was admitted
		return
	}
	is.Equal(body.Reason, c.reason)
}

var errTestDial = errors.New("no answer")
