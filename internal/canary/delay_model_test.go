package canary

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
	"time"
)

// delayModel draws the delays of answers.
type delayModel struct {
	// spread is the standard deviation of the logarithm of the waits; that of the pauses is a
	// third of it.
	spread float64
	// slow returns the share of the new version's answers that are slower at a time after the
	// order, and how many times; nil for none.
	slow func(after time.Duration) (share, factor float64)
	// routes is the number of routes, half of them with pauses; 0 means two.
	routes int
	// slowRoute is the only route that is slower; empty for all.
	slowRoute string
	// slowUpstreams is the part of the old version's answers that come from upstreams which take
	// four times as long; slowNew is set if one of the new version's four does.
	slowUpstreams float64
	slowNew       bool
	// burst is how many times as long all waits are from 4 to 10 s after the order; 0 for
	// none.
	burst float64
	// idleNew is set if the burst does not reach the new version's upstreams, of which many serve
	// few sessions.
	idleNew bool
	// longBurst is set for one that goes on until the limit.
	longBurst bool
	// plain is set for a service without models, whose answers come at once.
	plain bool
	// cold is how many times as long the new version's waits are in its first second.
	cold float64
}

// usualLoad is the number of attempts in progress at an upstream on an ordinary day.
const usualLoad = 4

// usualDelays are those of an ordinary day.
var usualDelays = delayModel{spread: 0.8}

// answerDelays are the delays of one answer.
type answerDelays struct {
	route       string
	upstream    string
	wait, pause time.Duration // a pause of 0 is not known
	load        float64       // attempts in progress at the upstream
}

func (m *delayModel) draw(rnd *rand.Rand, onNew bool, t time.Duration) answerDelays {
	factor := 1.0
	d := answerDelays{route: "long", upstream: fmt.Sprint("u", rnd.IntN(4))}
	if rnd.IntN(2) == 0 {
		d.route = "short"
	}
	if m.routes > 0 {
		d.route += strconv.Itoa(rnd.IntN(m.routes / 2))
	}
	switch {
	case onNew && m.slow != nil && (m.slowRoute == "" || m.slowRoute == d.route):
		if share, times := m.slow(t); rnd.Float64() < share {
			factor = times
		}
	case onNew && m.slowNew && d.upstream == "u0":
		factor = 4
	case !onNew && rnd.Float64() < m.slowUpstreams:
		factor = 4
	}
	wait := 0.25 * factor * math.Exp(m.spread*rnd.NormFloat64())
	if m.plain {
		wait /= 10
	}
	pause := 0.03 * factor * math.Exp(m.spread/3*rnd.NormFloat64())
	d.load = usualLoad
	end := 10 * time.Second
	if m.longBurst {
		end = limit
	}
	if m.burst > 0 && t > 4*time.Second && t < end && !(onNew && m.idleNew) {
		d.load *= m.burst
		wait *= m.burst
		pause *= math.Sqrt(m.burst)
	}
	if onNew && m.cold > 0 && t < trialDelay+time.Second {
		wait *= m.cold
	}
	d.wait = time.Duration(wait * float64(time.Second))
	if strings.HasPrefix(d.route, "long") {
		d.pause = time.Duration(pause * float64(time.Second))
	}
	return d
}

// dueEvents are what happens later, in order of time.
type dueEvents struct{ events []dueEvent }

type dueEvent struct {
	at time.Time
	do func()
}

func (d *dueEvents) add(at time.Time, do func()) {
	i, _ := slices.BinarySearchFunc(d.events, at, func(e dueEvent, at time.Time) int { return e.at.Compare(at) })
	d.events = slices.Insert(d.events, i, dueEvent{at, do})
}

func (d *dueEvents) run(now time.Time) {
	n := 0
	for n < len(d.events) && !d.events[n].at.After(now) {
		d.events[n].do()
		n++
	}
	d.events = slices.Delete(d.events, 0, n)
}
