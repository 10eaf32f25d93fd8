package gateway

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/hickorybank/hickorybank/internal/canary"
	"github.com/hickorybank/hickorybank/internal/fleet"
	"github.com/hickorybank/hickorybank/internal/notice"
	"github.com/hickorybank/hickorybank/internal/route"
)

// A session keeps its version even if all upstreams of that version have asked for a few
// seconds of rest.
func TestSessionKeepsItsVersionWhileUpstreamsRest(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	n := newGroupNode(true)
	for _, version := range []string{"v1", "v2"} {
		n.fleet.Put(fleet.Record{ID: "u-" + version, Service: "engine", Addr: "10.0.0.1:1", Version: version, Slots: 1}, now)
		n.allowedVersions[versionKey("engine", version)] = true
	}
	n.canary.AddOrder(canary.Order{Service: "engine", Target: "v2", Limit: time.Minute, Revision: 1}, now.Add(-time.Minute))
	n.canary.ApplyVerdict("engine", 1, canary.Completed, true)
	n.fleet.ApplyResponse(n.fleet.Get("u-v2"), notice.Response{Backoff: 3 * time.Second}, now, now)
	config := &configuration{Table: &route.Table{}}
	job := func(session string) *job {
		return &job{node: n, service: "engine", route: &route.Route{}, config: config, headers: CallerHeaders{Session: session}}
	}
	a, room := n.newAttempt(job("s1"))
	is.True(a == nil)
	is.True(room.Sub(now) >= 3*time.Second)
	a, _ = n.newAttempt(job(""))
	is.True(a != nil)
	is.Equal(a.version, "v1")
}
