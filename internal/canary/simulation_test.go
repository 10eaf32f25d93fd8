package canary

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/hickorybank/hickorybank/internal/revision"
)

// world simulates a few nodes that serve one service in virtual time.
type world struct {
	nodes []*Canary
	rnd   *rand.Rand
	// delayRnd draws the delays, so that they leave the sessions of a seed as they are.
	delayRnd *rand.Rand
	start    time.Time
	now      time.Time
	// badShare is the share of the new version's answers that fail at a time after the
	// order; baseBadShare is the old version's.
	badShare     func(after time.Duration) float64
	baseBadShare float64
	// sessions are the open sessions; their requests go to any node.
	sessions [120]int
	newest   int
	// soakBadShare is the share of the new version's answers that fail in the soak of a plain
	// service, in place of badShare.
	soakBadShare float64
	// lastServed is the version of each session's last request, and its time.
	lastServed map[int]servedBy
	// moved counts requests whose session changed its version in the first half of the
	// limit.
	moved int
	// movedBack counts requests that ran on the old version although their session's last
	// request ran on the new one, which was not rolled back.
	movedBack int
	// heavyShare is the part of the requests that one session in ten sends;
	// secondAttempts is the part of the requests with a second attempt.
	heavyShare, secondAttempts float64
	// rate is the number of requests a second; 0 means perSecond.
	rate int
	// late is Order.Late of the order; revision is its revision.
	late     time.Duration
	revision revision.Revision
	// delays of the answers, and what is due at a time.
	delays delayModel
	due    dueEvents
	// requests, exposed and badAnswers count from the order on.
	requests, exposed, badAnswers int
	// verdict is the one that was recorded, verdictAfter the time from the order until
	// then.
	verdict      Verdict
	verdictAfter time.Duration
}

type servedBy struct {
	version string
	at      time.Time
}

const (
	serviceName = "engine"
	oldVersion  = "v1"
	newVersion  = "v2"
	limit       = 24 * time.Second
	perSecond   = 80
	// exchangeInterval is the time between two exchanges of tallies and pins.
	exchangeInterval = 900 * time.Millisecond
	// soakExchangeInterval is that time in a soak.
	soakExchangeInterval = 125 * time.Millisecond
	// sessionLength is the mean number of requests of a session.
	sessionLength = 5
)

var testSettings = Settings{ShareBound: 0.15, Slack: 30, Session: 5 * time.Second, Lag: 300 * time.Millisecond}

func newWorld(seed uint64, nodes int) *world {
	w := &world{
		rnd: rand.New(rand.NewPCG(seed, 1)), delayRnd: rand.New(rand.NewPCG(seed, 2)), start: time.Unix(1000, 0), lastServed: map[int]servedBy{},
		badShare: func(time.Duration) float64 { return 0.01 }, baseBadShare: 0.01, delays: usualDelays, revision: 1,
	}
	for i := range w.sessions {
		w.newest++
		w.sessions[i] = w.newest
	}
	w.newest = int(seed) * 1_000_000
	for i := range nodes {
		w.nodes = append(w.nodes, New(testSettings, fmt.Sprintf("n%d", i), 1))
	}
	return w
}

// replaceNodes replaces the nodes by new ones with other settings.
func (w *world) replaceNodes(s Settings) {
	for i := range w.nodes {
		w.nodes[i] = New(s, fmt.Sprintf("n%d", i), 1)
	}
}

func (w *world) order() Order {
	return Order{Service: serviceName, Target: newVersion, Limit: limit, Revision: w.revision, Late: w.late}
}

// run simulates the time from before the order until after its limit.
func (w *world) run() {
	tick := time.Second / perSecond
	if w.rate > 0 {
		tick = time.Second / time.Duration(w.rate)
	}
	order := w.order()
	taken := false
	var exchangedAt, evaluatedAt time.Time
	for t := -6 * time.Second; t < limit+2*time.Second; t += tick {
		w.now = w.start.Add(t)
		if t >= 0 && !taken {
			for _, c := range w.nodes {
				c.AddOrder(order, w.now)
			}
			taken = true
		}
		w.due.run(w.now)
		w.request(t)
		if since := w.now.Sub(exchangedAt); since >= exchangeInterval || since >= soakExchangeInterval && w.nodes[0].Soaking() {
			exchangedAt = w.now
			w.exchange()
		}
		if w.now.Sub(evaluatedAt) >= 250*time.Millisecond {
			evaluatedAt = w.now
			w.evaluate(t)
		}
	}
}

func (w *world) request(t time.Duration) {
	c := w.nodes[w.rnd.IntN(len(w.nodes))]
	slot := w.rnd.IntN(len(w.sessions))
	if w.heavyShare > 0 && w.rnd.Float64() < w.heavyShare {
		slot /= 10
	}
	if w.rnd.IntN(sessionLength) == 0 {
		w.newest++
		w.sessions[slot] = w.newest
	}
	session := w.sessions[slot]
	caller := Caller{Hash: xxhash.Sum64String(fmt.Sprint("session", session)), Session: true}
	rule := c.Rule(serviceName, caller, w.now)
	version := oldVersion
	if rule.Version != "" {
		version = rule.Version
	}
	before, known := w.lastServed[session]
	if known && w.now.Sub(before.at) < testSettings.Session && before.version != version && t >= 0 && t < limit/2 {
		w.moved++
	}
	if known && w.now.Sub(before.at) < testSettings.Session && before.version == newVersion && version == oldVersion && w.verdict != RolledBack {
		w.movedBack++
	}
	w.lastServed[session] = servedBy{version, w.now}
	failed := w.rnd.Float64() < w.baseBadShare
	if version == newVersion {
		bad := w.badShare(t)
		if w.delays.plain && rule.Soak != nil {
			bad = w.soakBadShare
		}
		failed = w.rnd.Float64() < bad
	}
	if t >= 0 && t < limit {
		w.requests++
		if version == newVersion {
			w.exposed++
		}
	}
	if version == newVersion && failed {
		w.badAnswers++
	}
	w.attempt(c, version, failed, true, t)
	if w.secondAttempts > 0 && w.rnd.Float64() < w.secondAttempts {
		w.attempt(c, version, failed, false, t)
	}
}

// attempt begins an attempt; its answer follows in virtual time.
func (w *world) attempt(c *Canary, version string, failed, first bool, t time.Duration) {
	d := w.delays.draw(w.delayRnd, version == newVersion, t)
	a := c.Begin(Attempt{
		Service: serviceName, Version: version, Route: d.route, Model: "m", Upstream: d.upstream, Load: d.load,
		Noticeable: [measures]time.Duration{60 * time.Millisecond, 24 * time.Millisecond},
	}, first, w.now)
	answered := w.now.Add(d.wait)
	if failed {
		w.due.add(answered, func() {
			c.CountFailure(a)
			c.End(a, false, w.now)
		})
		return
	}
	w.due.add(answered, func() { c.Start(a, w.now) })
	w.due.add(answered.Add(5*d.pause), func() {
		c.CountPace(a, d.pause)
		c.End(a, false, w.now)
	})
}

// exchange exchanges tallies and pins between the first node, the reader, and all others.
func (w *world) exchange() {
	reader := w.nodes[0]
	for _, c := range w.nodes[1:] {
		for _, t := range c.Tallies(w.now) {
			reader.Merge(t, w.now)
		}
		reader.MergePins(c.Pins(w.now), w.now)
	}
	for _, c := range w.nodes[1:] {
		for _, t := range reader.TalliesToRelay(w.now, func(string) bool { return true }) {
			c.Merge(t, w.now)
		}
		c.MergePins(reader.Pins(w.now), w.now)
	}
}

func (w *world) evaluate(t time.Duration) {
	for i, c := range w.nodes {
		view := View{Count: func(string, string) (int, int) { return 18, 36 }, Plain: func(string) bool { return w.delays.plain }, Complete: i == 0}
		for _, d := range c.Tick(w.now, view) {
			if d.Verdict == Open {
				w.exchange() // a shift is sent at once
				continue
			}
			if w.verdict == Open {
				w.verdict, w.verdictAfter = d.Verdict, t
			}
			c.ApplyVerdict(serviceName, d.Order.Revision, w.verdict, true)
			w.exchange()
		}
	}
}
