package canary

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"
)

// world is a few nodes that serve one service in virtual time.
type world struct {
	nodes []*Canary
	rnd   *rand.Rand
	start time.Time
	now   time.Time
	// bad is the share of the new version's answers that fail at a time after
	// the order; base is the old version's.
	bad  func(after time.Duration) float64
	base float64
	// sessions are those under way; their requests come to any node.
	sessions [120]int
	newest   int
	// last is the version of each session's last request, and when it was.
	last map[int]servedBy
	// moved counts requests whose session was on the other version before, in
	// the watch.
	moved int
	// movedBack counts requests that ran on the old version although their
	// session was on the new one just before, while that counted as good.
	movedBack int
	// heavy is the part of the requests that one session in ten sends; further
	// is the part of the requests that are asked for a second time.
	heavy, further float64
	// rate is the requests a second; 0 for perSecond.
	rate int
	// late is how late the nodes may have learned of the order, for all they know.
	late time.Duration
	// requests, exposed, badAnswers count what the service saw since the order.
	requests, exposed, badAnswers int
	// done is the verdict that was recorded, doneAt when after the order.
	done   Verdict
	doneAt time.Duration
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
	// newsEvery is how often nodes tell each other.
	newsEvery = 900 * time.Millisecond
	// sessionLength is how many requests a session has on average.
	sessionLength = 5
)

var testSettings = Settings{ShareBound: 0.15, Slack: 30, Session: 5 * time.Second, Lag: 300 * time.Millisecond}

func newWorld(seed uint64, nodes int) *world {
	w := &world{
		rnd: rand.New(rand.NewPCG(seed, 1)), start: time.Unix(1000, 0), last: map[int]servedBy{},
		bad: func(time.Duration) float64 { return 0.01 }, base: 0.01,
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

// bound gives the nodes other settings.
func (w *world) bound(s Settings) {
	for i := range w.nodes {
		w.nodes[i] = New(s, fmt.Sprintf("n%d", i), 1)
	}
}

// run plays from before the order until after its time limit.
func (w *world) run() {
	tick := time.Second / perSecond
	if w.rate > 0 {
		tick = time.Second / time.Duration(w.rate)
	}
	order := Order{Service: serviceName, Target: newVersion, Limit: limit, Revision: 1, Late: w.late}
	taken := false
	var told, weighed time.Time
	for t := -6 * time.Second; t < limit+2*time.Second; t += tick {
		w.now = w.start.Add(t)
		if t >= 0 && !taken {
			for _, c := range w.nodes {
				c.Take(order, w.now)
			}
			taken = true
		}
		w.request(t)
		if w.now.Sub(told) >= newsEvery {
			told = w.now
			w.news()
		}
		if w.now.Sub(weighed) >= 250*time.Millisecond {
			weighed = w.now
			w.weigh(t)
		}
	}
}

func (w *world) request(t time.Duration) {
	c := w.nodes[w.rnd.IntN(len(w.nodes))]
	place := w.rnd.IntN(len(w.sessions))
	if w.heavy > 0 && w.rnd.Float64() < w.heavy {
		place /= 10
	}
	if w.rnd.IntN(sessionLength) == 0 {
		w.newest++
		w.sessions[place] = w.newest
	}
	session := w.sessions[place]
	caller := Caller{Hash: xxhash.Sum64String(fmt.Sprint("session", session)), Session: true}
	rule := c.Rule(serviceName, caller, w.now)
	version := oldVersion
	if rule.Version != "" {
		version = rule.Version
	}
	before, known := w.last[session]
	if known && w.now.Sub(before.at) < testSettings.Session && before.version != version && t >= 0 && t < limit/2 {
		w.moved++
	}
	if known && w.now.Sub(before.at) < testSettings.Session && before.version == newVersion && version == oldVersion && w.done != RolledBack {
		w.movedBack++
	}
	w.last[session] = servedBy{version, w.now}
	failed := w.rnd.Float64() < w.base
	if version == newVersion {
		failed = w.rnd.Float64() < w.bad(t)
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
	c.Sent(serviceName, version, true)
	if w.further > 0 && w.rnd.Float64() < w.further {
		c.Ended(serviceName, version, c.Revision(serviceName))
		c.Sent(serviceName, version, false)
	}
	c.Ended(serviceName, version, c.Revision(serviceName))
	c.Answered(Answer{Service: serviceName, Version: version, Route: "r", Model: "m", Failed: failed, Pace: 20 * time.Millisecond})
}

// news tells every node what the first, the reader, knows, and the reverse.
func (w *world) news() {
	reader := w.nodes[0]
	for _, c := range w.nodes[1:] {
		for _, t := range c.Tallies(w.now) {
			reader.Merge(t, w.now)
		}
		reader.TakePins(c.Pins(w.now), w.now)
	}
	for _, c := range w.nodes[1:] {
		for _, t := range reader.Known(w.now, func(string) bool { return true }) {
			c.Merge(t, w.now)
		}
		c.TakePins(reader.Pins(w.now), w.now)
	}
}

func (w *world) weigh(t time.Duration) {
	for i, c := range w.nodes {
		view := View{Count: func(string, string) (int, int) { return 18, 36 }, Whole: i == 0}
		for _, d := range c.Tick(w.now, view) {
			if d.Verdict == Open {
				w.news() // a shift is told at once
				continue
			}
			if w.done == Open {
				w.done, w.doneAt = d.Verdict, t
			}
			c.Decide(serviceName, d.Order.Revision, w.done, true)
			w.news()
		}
	}
}
