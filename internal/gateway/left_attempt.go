package gateway

import (
	"context"
	"log/slog"
	"time"

	"github.com/hickorybank/hickorybank/internal/crashguard"
	"github.com/hickorybank/hickorybank/internal/event"
	"github.com/hickorybank/hickorybank/internal/fleet"
)

// leftCheckInterval is the pause between two checks of the upstreams at which this node has left
// attempts.
const leftCheckInterval = 250 * time.Millisecond

// leftUpstream is an upstream at which this node has left attempts.
type leftUpstream struct {
	*fleet.Upstream
	// probes is the number of next checks at which it is probed without another sign of a crash.
	probes int
}

// leave records that the node no longer waits for an attempt that its upstream may still run. The
// request may crash the upstream later, which then counts against it. It does not count against the
// parts of its prompt, which many sound requests share: the crash becomes known late, and so looks
// like one apart from a loss of many upstreams.
func (a *attempt) leave() { a.leaveAndProbe(0) }

// leaveAndProbe is leave for an attempt whose upstream is probed a number of times soon.
func (a *attempt) leaveAndProbe(probes int) {
	j, n, now := a.job, a.job.node, time.Now()
	if !a.leftAt.IsZero() || len(j.chain) == 0 {
		return
	}
	a.leftAt = now
	j.left = append(j.left, a)
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.crashGuard.Leave(a.crashID(), j.chain.Request(), a.began, j.deadline, now) {
		n.noteOwnEvidence()
		return
	}
	left := n.leftUpstreams[a.crashID()]
	n.leftUpstreams[a.crashID()] = leftUpstream{a.up, max(left.probes, probes)}
	wake(n.leftAttempts)
}

// crashID identifies the crash of the attempt's upstream.
func (a *attempt) crashID() crashguard.CrashID { return crashguard.NewCrashID(a.up.Incarnation()) }

// chainAt returns the keys against which a crash of the attempt's upstream counts: only the
// request's own if its answer has begun for a while.
func (a *attempt) chainAt(at time.Time) (chain crashguard.Chain, begun bool) {
	begun = !a.firstEventAt.IsZero() && at.Sub(a.firstEventAt) >= answerProofTime
	if begun {
		return a.job.chain.Request(), true
	}
	return a.job.chain, false
}

// crashesKnown returns the number of upstreams that are known to have crashed before their answers
// to the job's request had begun; the caller holds the node's mu.
func (j *job) crashesKnown() int {
	count := j.crashes
	for _, a := range j.left {
		if _, begun := a.chainAt(a.leftAt); !begun && j.node.crashGuard.Knows(a.crashID()) {
			count++
		}
	}
	return count
}

// checkLeft checks whether the upstreams that the job has left have crashed too. It is called when
// another one has: the request may be the cause.
func (j *job) checkLeft() {
	for _, a := range j.left {
		if j.node.isCrashed(a.crashID(), a.addr) {
			j.node.noteCrash(a.up, a.addr)
		}
	}
}

// noteCrash records that an upstream has crashed, which counts against the attempts there that this
// node has left.
func (n *Node) noteCrash(up *fleet.Upstream, addr string) {
	id, now := crashguard.NewCrashID(up.Incarnation()), time.Now()
	n.mu.Lock()
	fresh := n.crashGuard.Crashed(id, now, now)
	if fresh {
		n.noteOwnEvidence()
	}
	delete(n.leftUpstreams, id)
	n.mu.Unlock()
	if !fresh {
		return
	}
	n.pool.Forget(addr)
	n.metrics.Counter("hickorybank_crash_left_total").Inc()
	event.UpstreamCrashedLater.Log(n.log, slog.String("upstream", up.ID))
}

// followLeftAttempts looks for crashes of upstreams at which this node has left attempts.
func (n *Node) followLeftAttempts(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-n.leftAttempts:
		}
		for n.checkLeftUpstreams() {
			if !pause(ctx, leftCheckInterval) {
				return
			}
		}
	}
}

// checkLeftUpstreams looks for signs that upstreams with left attempts have crashed. It returns
// false if there are no such upstreams.
func (n *Node) checkLeftUpstreams() bool {
	var crashed, suspected, others []*fleet.Upstream
	n.mu.Lock()
	awaited := map[crashguard.CrashID]leftUpstream{}
	for _, id := range n.crashGuard.AwaitsCrash(time.Now()) {
		up := n.leftUpstreams[id]
		awaited[id] = leftUpstream{up.Upstream, max(up.probes-1, 0)}
		switch {
		case n.fleet.WasReplaced(up.Upstream):
			crashed = append(crashed, up.Upstream)
		case n.fleet.IsLeaving(up.Upstream), n.links.dialer.IsLost(up.Addr): // a refusal may be this host's own
		case up.probes > 0, n.fleet.IsFoundClosed(up.Upstream):
			suspected = append(suspected, up.Upstream)
		default:
			others = append(others, up.Upstream)
		}
	}
	n.leftUpstreams = awaited
	awaits := len(awaited) > 0
	n.mu.Unlock()
	for _, up := range others {
		if n.pool.DropEnded(up.Addr) {
			suspected = append(suspected, up)
		}
	}
	for _, up := range suspected {
		if n.isCrashed(crashguard.NewCrashID(up.Incarnation()), up.Addr) {
			crashed = append(crashed, up)
		}
	}
	for _, up := range crashed {
		n.noteCrash(up, up.Addr)
	}
	return awaits
}
