package crashguard

import "time"

// Evidence is what counts against a key.
type Evidence struct {
	// Strikes are the crashes, Moments the separate moments at which they happened.
	Strikes, Moments int
	// Late are the crashes that happened over lateAfter after the costly ones.
	Late int
	// Answered is when requests with the key were answered lately: never, before the strikes, or
	// between them.
	Answered string
}

// Evidence returns what counts against a key.
func (g *Guard) Evidence(key Key, now time.Time) (v Evidence) {
	e := g.keys[key]
	if e == nil {
		return v
	}
	g.judge(now)
	live := e.live()
	v.Strikes = live.size()
	v.Moments, _ = g.moments(e, live)
	v.Late = g.lateStrikes(e)
	v.Answered = g.doubtOf(e).String()
	return v
}

// Summary is how much a guard knows.
type Summary struct{ Crashes, Keys, Convicted, Quarantined int }

// Summary returns how much the guard knows.
func (g *Guard) Summary(now time.Time) Summary {
	g.judge(now)
	return Summary{Crashes: len(g.slots), Keys: len(g.keys), Convicted: len(g.convicted), Quarantined: len(g.quarantined)}
}
