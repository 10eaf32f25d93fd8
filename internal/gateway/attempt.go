package gateway

import (
	"slices"
	"time"

	"github.com/hickorybank/hickorybank/internal/canary"
	"github.com/hickorybank/hickorybank/internal/fleet"
	"github.com/hickorybank/hickorybank/internal/route"
)

// attempt is one try to run a request at one upstream.
type attempt struct {
	job *job
	up  *fleet.Upstream
	// id and addr are the upstream's when it was chosen; its record may change during the
	// attempt.
	id, addr string
	// version is the upstream's when the attempt began.
	version string
	began   time.Time
	// startedAt is when the head of the answer arrived, firstEventAt when the first event of
	// its stream did; zero before.
	startedAt, firstEventAt time.Time
	// answered is set once the parts of the prompt are known not to have crashed the upstream.
	answered bool
	ended    bool
	// leftAt is when the node stopped waiting for the attempt, which its upstream may still run.
	leftAt time.Time
	// unreachable is set if the upstream did not get the request, timedOut if it got half of the
	// time left and did not answer.
	unreachable, timedOut bool
	// reported is set once the attempt's outcome has been reported to the rollout.
	reported bool
	// mayHaveRunBefore is set if an earlier attempt may have run the request.
	mayHaveRunBefore bool
	// trial is the attempt's record in the comparison of versions.
	trial *canary.Attempt
	// work is the attempt's load on its upstream, rank its position in the upstream's
	// queue.
	work *fleet.Work
	rank int
	// spec is what the attempt requires of an upstream. usualDelay is how long such an
	// attempt usually waits for its answer to begin; 0 if unknown.
	spec       fleet.AttemptSpec
	usualDelay time.Duration
}

// newAttempt chooses an upstream for the job's next attempt and counts the attempt. If
// there is no upstream, a is nil and roomAt is when one has capacity; zero if that is
// unknown.
func (n *Node) newAttempt(j *job) (a *attempt, roomAt time.Time) {
	now := time.Now()
	n.mu.Lock()
	defer n.mu.Unlock()
	p := n.place(j, n.canary.Rule(j.service, j.caller(), now), n.heldVersion(j.service, now), now)
	up, spec := p.upstream, p.spec
	if up == nil {
		return nil, p.roomAt
	}
	load := up.AttemptsInProgress(now)
	rank, usualDelay := n.fleet.Rank(up, &spec, j.priority, now), n.fleet.ExpectedWait(&spec, now)
	work := n.fleet.Begin(up, &spec, now)
	n.countPrefix(work)
	return &attempt{
		job: j, up: up, id: up.ID, addr: up.Addr, version: up.Version, began: now,
		spec: spec, rank: rank, usualDelay: usualDelay, mayHaveRunBefore: j.mayHaveRun, work: work,
		trial: n.canary.Begin(canary.Attempt{
			Service: j.service, Version: up.Version, Upstream: up.ID, Route: j.route.Name, Model: j.requestedModel(),
			Work: n.fleet.RelativeWork(work), Load: load, Noticeable: j.noticeableDelays(),
			Overloaded: p.soak != nil,
		}, j.attemptsReached == 0, now),
	}, time.Time{}
}

// noticeableDelays returns the differences that callers begin to notice in the wait for an answer
// and in its pace: a small part of what the route aims for.
func (j *job) noticeableDelays() [2]time.Duration {
	const part = 50
	return [2]time.Duration{canary.Wait: j.route.LatencyGoal / part, canary.Pace: j.gapGoal() / part}
}

// attemptSpec returns what the job's next attempt requires of an upstream.
func (j *job) attemptSpec(rule canary.Rule) fleet.AttemptSpec {
	spec := fleet.AttemptSpec{
		Service: j.service, Version: rule.Version, ExcludedVersions: rule.Excluded, Model: j.requestedModel(),
		Weight: j.modelWeight(), Tokens: j.headers.TokensIn, Tried: slices.Concat(j.tried, j.avoided),
		Regions: j.regions(), Plain: j.isPlain(), Once: !j.route.Repeatable(),
		Seed: j.affinityHash ^ uint64(j.node.incarnation) ^ uint64(j.start.UnixNano()) ^ uint64(len(j.tried)),
	}
	if s := j.config.Service(j.service); s != nil && s.Engine != nil {
		spec.TokenCapacity = s.Engine.TokenCapacity
	}
	for _, p := range j.sharedBlocks() {
		spec.PrefixBlocks = append(spec.PrefixBlocks, fleet.PrefixBlock{ID: p.ID, Tokens: p.Tokens})
	}
	return spec
}

// modelWeight returns the requested model's work per token as a fraction of the most
// expensive model's. Costs stand for the work.
func (j *job) modelWeight() float64 {
	s := j.config.Service(j.service)
	if s == nil || s.Engine == nil {
		return 1
	}
	own, highest := 0.0, 0.0
	for _, m := range s.Engine.Models {
		highest = max(highest, m.Cost)
		if m.Name == j.requestedModel() {
			own = m.Cost
		}
	}
	if own == 0 || highest == 0 {
		return 1
	}
	return own / highest
}

func (j *job) requestedModel() string {
	if j.model != "" {
		return j.model
	}
	return j.headers.Model
}

// maySend reports whether the attempt's upstream still accepts new work, and its request may
// still run. While the attempt waited for a connection, the upstream may have announced a
// limit or its end, and a part of the request may have been convicted.
func (a *attempt) maySend() bool {
	n := a.job.node
	now := time.Now()
	n.mu.Lock()
	accepts := n.fleet.StillAccepts(a.up, now)
	permission, trial := n.permit(a.job, now)
	n.mu.Unlock()
	return accepts && permission != refused && (permission != permittedAsTrial || a.job.beginTrial(trial))
}

// upstreamAccepts reports whether the attempt's upstream still accepts new work.
func (a *attempt) upstreamAccepts() bool {
	n := a.job.node
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.fleet.StillAccepts(a.up, time.Now())
}

// markStarted records that the attempt's answer has begun.
func (a *attempt) markStarted() {
	n := a.job.node
	a.startedAt = time.Now()
	n.mu.Lock()
	defer n.mu.Unlock()
	n.fleet.ResponseStarted(a.up, a.work, a.startedAt)
}

// noteAnswering records that the upstream's answer to the request has begun.
func (a *attempt) noteAnswering() {
	n := a.job.node
	n.mu.Lock()
	defer n.mu.Unlock()
	n.canary.Start(a.trial, a.startedAt)
}

// finish records the attempt's result; only the first call counts.
func (a *attempt) finish(result fleet.Result) {
	if a.ended {
		return
	}
	a.ended = true
	n := a.job.node
	now := time.Now()
	n.mu.Lock()
	defer n.mu.Unlock()
	if result == fleet.Served {
		n.stopBound.runTimes.observe(a.job.route.Name, now.Sub(a.began))
	}
	n.fleet.End(a.up, a.work, result, now)
	n.canary.End(a.trial, a.cutOff(result), now)
}

// cutOff reports whether this node or its caller ended an attempt that its upstream may have been
// working on.
func (a *attempt) cutOff(result fleet.Result) bool {
	return result == fleet.Moved || a.timedOut || result == fleet.Abandoned && !a.unreachable
}

// reportOutcome reports the attempt's outcome to the rollout. pace is the mean pause
// between events, or the time in which the body of a complete answer came; 0 if unknown.
func (a *attempt) reportOutcome(failed bool, pace time.Duration) {
	a.reported = true
	n := a.job.node
	n.mu.Lock()
	defer n.mu.Unlock()
	if !failed && a.job.route.Kind == route.Stream {
		n.fleet.ObservePause(a.up, a.work, pace, time.Now())
	}
	if failed {
		n.canary.CountFailure(a.trial)
	} else {
		n.canary.CountPace(a.trial, pace)
	}
}

// noteNotConnected records that no connection to the upstream could be opened; closed is set if
// its host answered that nothing listens there.
func (n *Node) noteNotConnected(up *fleet.Upstream, closed bool) {
	now := time.Now()
	n.mu.Lock()
	defer n.mu.Unlock()
	n.fleet.ConnectionRefused(up, now)
	if closed {
		n.fleet.AddressClosed(up, now)
		n.metrics.Counter("hickorybank_closed_addresses_total", "service", up.Service).Inc()
	}
}

// noteMisdirected drops an upstream whose address now belongs to another upstream.
func (n *Node) noteMisdirected(a *attempt) {
	n.pool.Forget(a.addr)
	n.mu.Lock()
	defer n.mu.Unlock()
	n.fleet.MarkReplaced(a.up)
}

// countRequest adds a request to its service's retry budget.
func (n *Node) countRequest(service string) {
	now := time.Now()
	n.mu.Lock()
	defer n.mu.Unlock()
	n.budget(service, now).Request(now)
}

// allowRetry takes one further attempt from the service's retry budget. It leaves the
// fraction reserve of the budget to other retries.
func (n *Node) allowRetry(service string, reserve float64) bool {
	now := time.Now()
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.budget(service, now).Allow(now, reserve)
}
