package crashguard

import "time"

const (
	// costlyStrikes is the number of crashes from which on the key's further ones are counted,
	// after lateAfter: until then requests are under way that no verdict stops.
	costlyStrikes = 3
	lateAfter     = 3 * time.Second
)

// Evidence is what counts against a key.
type Evidence struct {
	// Strikes are the crashes, Moments the separate moments at which they happened.
	Strikes, Moments int
	// Late are the crashes that happened over three seconds after the third.
	Late int
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
	return v
}

// lateStrikes returns the number of a key's live strikes that happened later than lateAfter after
// the costlyStrikes-th.
func (g *Guard) lateStrikes(e *entry) (late int) {
	live, count := e.live(), 0
	var from time.Time
	for _, slot := range g.order {
		if !live.has(slot) {
			continue
		}
		count++
		at := g.crashes[slot].at
		if count == costlyStrikes {
			from = at.Add(lateAfter)
		}
		if count > costlyStrikes && at.After(from) {
			late++
		}
	}
	return late
}
