package gateway

import (
	"log/slog"
	"net"
	"time"

	"github.com/hickorybank/hickorybank/internal/canary"
	"github.com/hickorybank/hickorybank/internal/crashguard"
	"github.com/hickorybank/hickorybank/internal/event"
	"github.com/hickorybank/hickorybank/internal/fleet"
)

// attempt is one sending of a request to one upstream.
type attempt struct {
	job *job
	up  *fleet.Upstream
	// id and addr are the upstream's as it was chosen: its record may change meanwhile.
	id, addr string
	// version and revision are those of the upstream and of the roll-out when
	// the attempt began.
	version  string
	revision uint64
	began    time.Time
	ended    bool
	// told is set when the roll-out has been told of the answer.
	told bool
	// ranBefore tells whether an earlier attempt may have run.
	ranBefore bool
	// work is what the attempt costs its upstream, rank its place in the
	// upstream's queue.
	work *fleet.Work
	rank int
	// want is what was asked of the upstream, usual how long such an attempt
	// usually waits for its answer to begin; 0 where that is not known.
	want  fleet.AttemptSpec
	usual time.Duration
}

// choose picks an upstream for the job's next attempt, and counts it. Where there is none,
// room is when one takes it, if that is known.
func (n *Node) choose(j *job) (a *attempt, room time.Time) {
	now := time.Now()
	n.mu.Lock()
	defer n.mu.Unlock()
	rule := n.canary.Rule(j.service, canary.Caller{Hash: j.hash, Session: j.ask.Session != ""}, now)
	want := j.want(rule)
	if v := n.unorderedVersion(j.service, now); v != "" && rule.Version != v {
		want.NotVersions = append(want.NotVersions, v)
	}
	if rule.Part > 0 {
		ofVersion, _ := n.fleet.Count(j.service, rule.Version, now)
		want.Most = max(1, int(rule.Part*float64(ofVersion)+0.5))
	}
	up := n.fleet.Choose(want, now)
	if up == nil {
		room, _ = n.fleet.RoomAt(&want, now)
	}
	if up == nil && rule.Version != "" && (room.IsZero() || j.ask.Session == "") {
		// The version has nobody for it: any other that may serve is better
		// than none, but for a session whose own has room in a while.
		want.Version, want.Most = "", 0
		up = n.fleet.Choose(want, now)
	}
	if up == nil {
		return nil, room
	}
	n.canary.Sent(j.service, up.Version, j.arrived == 0)
	return &attempt{
		job: j, up: up, id: up.ID, addr: up.Addr, version: up.Version, revision: n.canary.Revision(j.service), began: now,
		want: want, rank: n.fleet.Rank(up, &want, j.priority, now), usual: n.fleet.Delay(&want, now),
		ranBefore: j.mayHaveRun, work: n.fleet.Begin(up, &want, now),
	}, time.Time{}
}

// want is what the job's next attempt asks of an upstream.
func (j *job) want(rule canary.Rule) fleet.AttemptSpec {
	w := fleet.AttemptSpec{
		Service: j.service, Version: rule.Version, NotVersions: rule.Not, Model: j.wantedModel(),
		Weight: j.weight(), Tokens: j.ask.TokensIn, Tried: j.tried,
		Regions: j.regions(),
		Seed:    j.hash ^ uint64(j.node.born) ^ uint64(j.start.UnixNano()) ^ uint64(len(j.tried)),
	}
	// The last part is the request's own.
	for _, p := range j.ask.Parts[:max(len(j.ask.Parts)-1, 0)] {
		w.Parts = append(w.Parts, fleet.Part{ID: p.ID, Tokens: p.Tokens})
	}
	return w
}

// weight is the wanted model's work for a token, by its cost, as a share of the
// dearest's.
func (j *job) weight() float64 {
	s := j.table.Service(j.service)
	if s == nil || s.Engine == nil {
		return 1
	}
	own, most := 0.0, 0.0
	for _, m := range s.Engine.Models {
		most = max(most, m.Cost)
		if m.Name == j.wantedModel() {
			own = m.Cost
		}
	}
	if own == 0 || most == 0 {
		return 1
	}
	return own / most
}

func (j *job) wantedModel() string {
	if j.model != "" {
		return j.model
	}
	return j.ask.Model
}

// stands tells whether the attempt's upstream still takes new work: it may have said otherwise
// while the attempt waited for a connection.
func (a *attempt) stands() bool {
	n := a.job.node
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.fleet.Takes(a.up, time.Now())
}

// started notes that the attempt's answer has begun.
func (a *attempt) started() {
	n := a.job.node
	n.mu.Lock()
	defer n.mu.Unlock()
	n.fleet.Started(a.up, a.work, time.Now())
}

// end counts the attempt's end, once.
func (a *attempt) end(result fleet.Result) {
	if a.ended {
		return
	}
	a.ended = true
	n := a.job.node
	now := time.Now()
	n.mu.Lock()
	defer n.mu.Unlock()
	n.fleet.End(a.up, a.work, result, now)
	n.canary.Ended(a.job.service, a.version, a.revision)
}

// answered tells the roll-out how the attempt went.
func (a *attempt) answered(failed bool, pace time.Duration) {
	a.told = true
	n := a.job.node
	n.mu.Lock()
	defer n.mu.Unlock()
	n.canary.Answered(canary.Answer{
		Service: a.job.service, Version: a.version, Route: a.job.route.Name, Model: a.job.wantedModel(),
		Failed: failed, Pace: pace,
	})
}

// returning notes that nobody listened at an upstream's address.
func (n *Node) returning(up *fleet.Upstream) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.fleet.Returning(up, time.Now())
}

// misdirected forgets an upstream whose address is another's.
func (n *Node) misdirected(a *attempt) {
	n.pool.Forget(a.addr)
	n.mu.Lock()
	defer n.mu.Unlock()
	n.fleet.Misdirected(a.up)
}

func (n *Node) blocked(print uint64) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.guard.Blocked(print)
}

// first counts a request for its service's retry budget.
func (n *Node) first(service string) {
	now := time.Now()
	n.mu.Lock()
	defer n.mu.Unlock()
	n.budget(service, now).Request(now)
}

// allowRetry takes a further attempt from the service's retry budget, less a
// part that stays for others.
func (n *Node) allowRetry(service string, reserve float64) bool {
	now := time.Now()
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.budget(service, now).Allow(now, reserve)
}

// crashProbe bounds the look whether an upstream that broke off still listens.
const crashProbe = 200 * time.Millisecond

// suspectCrash finds out whether an upstream that broke off has crashed: then
// nobody listens at its address. A request that runs at a crash is struck; an
// upstream that only broke one connection strikes nobody.
func (n *Node) suspectCrash(j *job, a *attempt) {
	c, err := net.DialTimeout("tcp4", a.addr, crashProbe)
	if err == nil {
		_ = c.Close() // it was only opened to see whether somebody listens
		return
	}
	now := time.Now()
	n.mu.Lock()
	fresh := n.guard.Add(crashguard.Strike{Fingerprint: j.print, Upstream: a.up.Start()}, now)
	strikes := n.guard.Strikes(j.print)
	n.mu.Unlock()
	n.pool.Forget(a.addr)
	if fresh {
		n.event(event.ForwardStrike, j, slog.String("upstream", a.id), slog.Int("strikes", strikes))
	}
}
