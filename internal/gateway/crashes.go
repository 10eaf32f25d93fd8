package gateway

import (
	"context"
	"fmt"
	"log/slog"
	"time"

	"github.com/sourcegraph/conc/pool"

	"github.com/hickorybank/hickorybank/internal/crashguard"
	"github.com/hickorybank/hickorybank/internal/event"
	"github.com/hickorybank/hickorybank/internal/gossip"
)

const (
	// crashProbeTimeout bounds the connection attempts, direct and through a peer, that check
	// whether an upstream still listens.
	crashProbeTimeout = 300 * time.Millisecond
	// answerProofTime is how long after its first event an attempt shows that the parts of its
	// prompt do not crash the upstream.
	answerProofTime = 250 * time.Millisecond
	// brokenProbes is the number of further probes, one each leftCheckInterval, of an upstream that broke
	// off an answer and still listened.
	brokenProbes = 2
	// maxRequestCrashes is the number of upstreams that may crash while they are about to
	// answer one request. Others may be the cause of one of them.
	maxRequestCrashes = 2
	// crashNewsInterval is the pause between two exchanges of news of crashes, crashNewsPeers
	// the number of peers in each.
	crashNewsInterval = 250 * time.Millisecond
	crashNewsPeers    = 2
)

// suspectCrash checks whether an upstream that broke off an answer has crashed, which shows
// in its address refusing connections. The crash then counts against the request, and against
// the parts of its prompt if its answer had not begun. An upstream that only lost one
// connection causes no strike, nor does one that is out of reach.
func (n *Node) suspectCrash(j *job, a *attempt) {
	at, id := time.Now(), a.crashID()
	chain, begun := a.chainAt(at)
	if !n.isCrashed(id, a.addr) {
		a.leaveAndProbe(brokenProbes) // it may end a moment after its connections
		return
	}
	if !begun {
		j.crashes++
	}
	n.mu.Lock()
	fresh := n.crashGuard.Strike(id, chain, a.began, at, time.Now())
	if fresh {
		n.noteOwnEvidence()
	}
	key := j.chain[len(j.chain)-1]
	evidence := n.crashGuard.Evidence(key, time.Now())
	n.mu.Unlock()
	n.pool.Forget(a.addr)
	if fresh {
		n.metrics.Counter("hickorybank_crash_strikes_total").Inc()
		if evidence.Late > 0 {
			n.metrics.Counter("hickorybank_crash_late_strikes_total").Inc()
		}
		n.logEvent(event.ForwardUpstreamCrashed, j, slog.String("upstream", a.id), slog.String("key", keyText(key)),
			slog.Int("strikes", evidence.Strikes), slog.Int("moments", evidence.Moments), slog.Int("late", evidence.Late), slog.String("answered", evidence.Answered),
			slog.Bool("begun", begun), slog.String("parts", j.sharedParts()))
	}
	n.noteCrash(a.up, a.addr)
	j.checkLeft()
}

// isCrashed reports whether an incarnation of an upstream has crashed: the crash is known, or the
// address refuses connections.
func (n *Node) isCrashed(id crashguard.CrashID, addr string) bool {
	n.mu.Lock()
	known := n.crashGuard.Knows(id)
	n.mu.Unlock()
	if known {
		return true
	}
	ctx, cancel := context.WithTimeout(context.Background(), crashProbeTimeout)
	defer cancel()
	return n.links.dialer.IsRefused(ctx, addr)
}

// noteAnswered records that the upstream began to answer at the given time and did not crash.
func (a *attempt) noteAnswered(chain crashguard.Chain, at time.Time) {
	a.answered = true
	n := a.job.node
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.crashGuard.Answered(chain, at, time.Now()) {
		wake(n.crashNews)
		wake(n.crashRecordNews)
	}
}

// mayRun reports whether the job may make a further attempt: no part of it is blocked for
// crashing upstreams, or it may be a trial, and few have crashed while they were about to answer it.
func (j *job) mayRun() bool {
	j.node.mu.Lock()
	defer j.node.mu.Unlock()
	permission, _ := j.node.permit(j, time.Now())
	return j.crashesKnown() < maxRequestCrashes && permission != refused
}

// permission tells whether a job may run.
type permission int

const (
	refused permission = iota
	permitted
	// permittedAsTrial is for a job that may run once a trial of the key by which it is blocked is
	// granted.
	permittedAsTrial
)

// permit returns whether the job may run, and the key of its trial; the caller holds mu.
func (n *Node) permit(j *job, now time.Time) (permission, crashguard.Key) {
	keys := n.crashGuard.Blocking(j.chain, now)
	switch {
	case len(keys) == 0:
		return permitted, 0
	case len(keys) > 1 || j.mayHaveRun:
	case j.trial == keys[0]:
		return permitted, 0
	case n.crashGuard.TrialDue(j.chain, keys[0], now):
		return permittedAsTrial, keys[0]
	}
	j.refuseFor(keys[0])
	return refused, 0
}

// refuseFor records the key for which the job is refused; the caller holds mu.
func (j *job) refuseFor(key crashguard.Key) {
	j.blockedBy, j.quarantined = key, !j.node.crashGuard.IsConvicted(key)
}

// countTrial counts a trial once it may have run.
func (j *job) countTrial() {
	if j.trial == 0 || j.trialCounted {
		return
	}
	j.trialCounted = true
	n := j.node
	n.mu.Lock()
	defer n.mu.Unlock()
	n.crashGuard.CountTrial(j.trial)
	n.noteOwnEvidence()
}

// endTrial records the end of a job that was let through and did not run.
func (j *job) endTrial() {
	if j.trial == 0 || j.trialCounted {
		return
	}
	j.node.mu.Lock()
	defer j.node.mu.Unlock()
	j.node.crashGuard.DeclineTrial(j.trial)
	j.node.noteOwnEvidence()
}

func keyText(key crashguard.Key) string { return fmt.Sprintf("%016x", uint64(key)) }

// Crashes answers a peer's report of crashes. It is a method of the gossip service.
func (n *Node) Crashes(in crashguard.Report) crashguard.Report {
	now := time.Now()
	n.mu.Lock()
	defer n.mu.Unlock()
	n.mergeCrashes(in, now)
	return n.crashGuard.Report(now)
}

// mergeCrashes merges a peer's report; the caller holds mu.
func (n *Node) mergeCrashes(in crashguard.Report, now time.Time) {
	if n.crashGuard.Merge(in, now) {
		wake(n.crashNews)
		wake(n.crashRecordNews)
	}
}

// followCrashes exchanges news of crashes with a few peers, who pass on what matters, and
// logs new verdicts.
func (n *Node) followCrashes(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-n.crashNews:
		}
		n.logVerdicts()
		work := pool.New()
		for _, m := range n.pickPeers(crashNewsPeers) {
			work.Go(func() { n.exchangeCrashes(m, n.gossipClient.Crashes) })
		}
		if m, ok := n.handOver(); ok {
			work.Go(func() { n.exchangeCrashes(m, n.gossipClient.RecordCrashes) })
		}
		work.Wait()
		n.logVerdicts()
		if !pause(ctx, crashNewsInterval) {
			return
		}
	}
}

// exchangeCrashes exchanges reports of crashes with a peer by a call of it.
func (n *Node) exchangeCrashes(m gossip.Member, call func(addr string, out crashguard.Report) (crashguard.Report, error)) {
	n.mu.Lock()
	out := n.crashGuard.Report(time.Now())
	n.mu.Unlock()
	in, err := call(m.Peer, out)
	n.countExchange(err)
	if err != nil {
		event.PeerCallFailed.Log(n.log, slog.String("peer", m.ID), slog.String("addr", m.Peer), slog.String("err", err.Error()))
		n.notePeerFailure(m, err)
		return
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.mergeCrashes(in, time.Now())
}

// crashEvents are the events of keys' new states.
var crashEvents = map[crashguard.State]event.Event{
	crashguard.Cleared: event.CrashAcquitted, crashguard.Quarantined: event.CrashQuarantined, crashguard.Convicted: event.CrashConvicted,
}

// logVerdicts logs new verdicts. Attempts in flight continue: their answers end wrong verdicts.
func (n *Node) logVerdicts() {
	n.mu.Lock()
	verdicts := n.crashGuard.TakeVerdicts(time.Now())
	n.mu.Unlock()
	for _, v := range verdicts {
		crashEvents[v.State].Log(n.log, slog.String("key", keyText(v.Key)), slog.Int("strikes", v.Strikes), slog.Int("cleared", v.Cleared), slog.Int("trials", v.Trials))
	}
}

// logCrashesAtStart logs what the node knows of crashes when it begins to serve.
func (n *Node) logCrashesAtStart(from string) {
	n.mu.Lock()
	known := n.crashGuard.Summary(time.Now())
	n.mu.Unlock()
	event.CrashesAtStart.Log(n.log, slog.String("from", from), slog.Int("crashes", known.Crashes), slog.Int("keys", known.Keys),
		slog.Int("convicted", known.Convicted), slog.Int("quarantined", known.Quarantined))
}

// quarantinedKeys returns the number of keys whose requests run one at a time.
func (n *Node) quarantinedKeys() float64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	return float64(n.crashGuard.CountQuarantined())
}

// convictedKeys returns the number of keys that are convicted of crashing upstreams.
func (n *Node) convictedKeys() float64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	return float64(n.crashGuard.CountConvicted())
}
