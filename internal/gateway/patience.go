package gateway

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/hickorybank/hickorybank/internal/route"
)

const (
	// patienceTimes is how many times the usual wait an attempt may wait for
	// its answer to begin before it is moved.
	patienceTimes = 4.0
	// patienceLeast is the least wait before an attempt is moved: waits that
	// short are seldom told apart from chance.
	patienceLeast = 300 * time.Millisecond
	// moveReserve is the part of the retry budget that moved attempts leave to
	// failed ones.
	moveReserve = 0.5
)

// patience moves an attempt that waits far longer than its like.
//
// It guards against work that is stuck at one upstream while others are idle:
// behind a prompt that takes seconds to read, or at an upstream that has fallen
// silent without closing its connections. The caller would wait until its time
// is over. What counts as long follows from what attempts usually wait, moved
// ones included: when all upstreams are slow, nothing is moved.
type patience struct {
	timer *time.Timer
	moved atomic.Bool
}

// patience watches an attempt until its answer begins; cancel ends the attempt.
func (a *attempt) patience(cancel context.CancelFunc) *patience {
	p := &patience{}
	if !a.movable() {
		return p
	}
	p.timer = time.AfterFunc(max(time.Duration(patienceTimes*float64(a.usual)), patienceLeast), func() {
		if a.job.node.allowMove(a) {
			p.moved.Store(true)
			cancel()
		}
	})
	return p
}

// end stops the watch; it reports whether the attempt was ended by it.
func (p *patience) end() bool {
	if p.timer != nil {
		p.timer.Stop()
	}
	return p.moved.Load()
}

// movable tells whether the attempt may be moved: it can be repeated, and as
// many attempts are left as the request still needs.
func (a *attempt) movable() bool {
	j := a.job
	if j.route.Kind != route.Stream || !j.route.Repeatable() || a.usual <= 0 {
		return false
	}
	needed := 2 // this one, and the one in its place
	if j.model != "" && j.model != j.route.Models[len(j.route.Models)-1] {
		needed++ // a larger model's
	}
	return j.left() >= needed
}

// allowMove takes a move from the retry budget, if there is another upstream.
func (n *Node) allowMove(a *attempt) bool {
	now := time.Now()
	n.mu.Lock()
	defer n.mu.Unlock()
	want := a.want
	want.Tried = append([]string{a.up.ID}, want.Tried...)
	if n.fleet.Choose(want, now) == nil {
		return false
	}
	return n.budget(want.Service, now).Allow(now, moveReserve)
}
