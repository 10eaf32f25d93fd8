package gateway

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/hickorybank/hickorybank/internal/cascade"
	"github.com/hickorybank/hickorybank/internal/crashguard"
	"github.com/hickorybank/hickorybank/internal/fleet"
	"github.com/hickorybank/hickorybank/internal/route"
)

// closingDialer opens pipes until its upstreams have crashed.
type closingDialer struct {
	pipeDialer
	crashed atomic.Bool
}

func (d *closingDialer) Dial(ctx context.Context, addr string) (net.Conn, error) {
	if d.crashed.Load() {
		return nil, syscall.ECONNREFUSED
	}
	return d.pipeDialer.Dial(ctx, addr)
}

// Fails if an attempt that the node no longer waits for, for any reason, does not count when its
// upstream crashes later.
func TestLeftAttemptCountsOnceItsUpstreamCrashes(t *testing.T) {
	silent := func(c net.Conn) { _, _ = c.Read(make([]byte, 1)) } // until the node closes the connection
	event := func(c net.Conn) {
		startStream(c, streamText(1, 1))
		silent(c)
	}
	unsure := func(c net.Conn) {
		reply(c, http.StatusOK, streamText(1, 1))
		silent(c)
	}
	tests := []struct {
		name      string
		upstreams pipeDialer
		// prepare changes the job, and returns what happens while it runs.
		prepare func(n *Node, j *job) (during func())
		left    int
	}{
		{"deadline", pipeDialer{"u0": silent}, func(n *Node, j *job) func() {
			ctx, cancel := context.WithTimeout(j.ctx, 50*time.Millisecond)
			j.ctx = ctx
			return func() { <-ctx.Done(); cancel() }
		}, 1},
		{"caller leaves before the answer", pipeDialer{"u0": silent}, leaveSoon, 1},
		{"caller leaves during the answer", pipeDialer{"u0": event}, leaveSoon, 1},
		{"moved", pipeDialer{"u0": silent, "u1": silent}, func(n *Node, j *job) func() {
			j.route.LatencyGoal = 10 * time.Millisecond
			return leaveSoon(n, j)
		}, 2},
		{"smaller model's answer is dropped", pipeDialer{"u0": unsure, "u1": unsure}, func(n *Node, j *job) func() {
			n.dialect = unsureDialect{}
			n.cascadePolicy = cascade.New(cascade.Settings{Accept: 60, AcceptBusy: 60, AcceptFull: 60})
			j.route.Models, j.model = []string{"small", "large"}, "small"
			return leaveSoon(n, j)
		}, 1},
		{"another upstream goes on with a silent stream", pipeDialer{"u0": event, "u1": event}, leaveSoon, 2},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			dialer := &closingDialer{pipeDialer: test.upstreams}
			n := newPipeNode(test.upstreams, 100)
			n.links, n.pool = newLinks(n, dialer)
			j := newStreamJob(t, n, newRecorder())
			j.chain = crashguard.Chain{crashguard.RequestKey("o", "/", nil)}
			during := test.prepare(n, j)
			ran := make(chan struct{})
			go func() {
				defer close(ran)
				runStream(j)
			}()
			during()
			<-ran
			is.Equal(len(n.leftUpstreams), test.left)
			is.True(n.checkLeftUpstreams())
			is.Equal(n.crashGuard.Strikes(j.chain[0]), 0) // no upstream has crashed
			dialer.crashed.Store(true)
			for _, up := range n.leftUpstreams {
				n.fleet.AddressClosed(up.Upstream, time.Now())
			}
			n.checkLeftUpstreams()
			is.Equal(n.crashGuard.Strikes(j.chain[0]), test.left)
			is.True(!n.checkLeftUpstreams())
		})
	}
}

// leaveSoon lets the caller leave after a moment.
func leaveSoon(_ *Node, j *job) (during func()) {
	ctx, cancel := context.WithCancel(j.ctx)
	j.ctx, j.r = ctx, j.r.WithContext(ctx)
	return func() {
		time.Sleep(200 * time.Millisecond)
		cancel()
	}
}

// Fails if an upstream that leaves as announced, after a request was moved off it, counts as crashed.
func TestUpstreamThatLeavesIsNoCrashOfLeftAttempts(t *testing.T) {
	is := is.New(t)
	dialer := &closingDialer{pipeDialer: pipeDialer{"u0": nil}}
	n := newPipeNode(dialer.pipeDialer, 100)
	n.links, n.pool = newLinks(n, dialer)
	j := newStreamJob(t, n, httptest.NewRecorder())
	j.chain = crashguard.Chain{crashguard.RequestKey("o", "/", nil)}
	a, _ := n.newAttempt(j)
	a.leave()
	drained := a.up.Record
	drained.Draining = true
	n.fleet.Put(drained, time.Now())
	dialer.crashed.Store(true)
	n.fleet.AddressClosed(a.up, time.Now())
	is.True(n.checkLeftUpstreams())
	n.fleet.Put(fleet.Record{ID: "u1", Addr: "u0", Service: "s"}, time.Now().Add(time.Second))
	is.True(n.checkLeftUpstreams())
	is.Equal(n.crashGuard.Strikes(j.chain[0]), 0)
}

// Fails if a request goes to a third upstream although two have crashed under it, one of them after it was
// moved off.
func TestCrashAfterAMoveCountsForTheRequest(t *testing.T) {
	is := is.New(t)
	dialer := &closingDialer{}
	dialer.pipeDialer = pipeDialer{
		"u0": func(c net.Conn) { _, _ = c.Read(make([]byte, 1)) },
		"u1": func(net.Conn) { dialer.crashed.Store(true) }, // its connection ends without an answer
		"u2": func(c net.Conn) { reply(c, http.StatusOK, "answer") },
	}
	n := newPlainNode(dialer.pipeDialer, 100)
	n.links, n.pool = newLinks(n, dialer)
	j := newStreamJob(t, n, httptest.NewRecorder())
	j.route.Kind = route.Idempotent
	j.chain = crashguard.Chain{crashguard.RequestKey("o", "/", nil)}
	j.run()
	is.Equal(j.attemptsReached, 2)
	is.Equal(n.crashGuard.Strikes(j.chain[0]), 2)
	is.True(!j.mayRun())
}

// Fails if the crash of an upstream that resets its connections a moment before it stops listening does
// not count.
func TestUpstreamThatListensForAMomentAfterItsCrash(t *testing.T) {
	is := is.New(t)
	dialer := &closingDialer{pipeDialer: pipeDialer{"u0": func(net.Conn) {}}}
	n := newPipeNode(dialer.pipeDialer, 100)
	n.links, n.pool = newLinks(n, dialer)
	j := newStreamJob(t, n, httptest.NewRecorder())
	j.route.MaxAttempts = 1
	j.chain = crashguard.Chain{crashguard.RequestKey("o", "/", nil)}
	j.run()
	is.Equal(n.crashGuard.Strikes(j.chain[0]), 0)
	is.True(n.checkLeftUpstreams()) // it still listens
	dialer.crashed.Store(true)
	n.checkLeftUpstreams()
	is.Equal(n.crashGuard.Strikes(j.chain[0]), 1)
}
