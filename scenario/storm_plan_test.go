package scenario

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
)

// strike is one fault of a storm: it begins when so many requests have begun,
// and ends when so many have.
type strike struct {
	kind  strikeKind
	from  int
	until int
	// draw decides everything else about it.
	draw uint64
}

const (
	strikeGap  = 0.2 // seconds between two strikes, at least; twice as many at most
	strikeSpan = 4.0 // seconds that a strike lasts, at most
	// calmPeriod is the seconds in which a calm of the platform comes again.
	calmPeriod = 20.0
)

// planStorm draws the strikes of a storm of so many requests, at a rate in
// requests a second; the first and the last requests meet none. In the calm
// seconds at the end of each period entries are killed where the platform would
// be struck: while it is struck all the time, bills are always in peers' memory
// and next to no entry may be killed.
func planStorm(seed uint64, requests int, rate, calm float64) []strike {
	rng := rand.New(rand.NewPCG(seed, 2))
	gap, span := max(1, int(strikeGap*rate)), max(1, int(strikeSpan*rate))
	var plan []strike
	for at := gap; at < requests-span; at += gap + rng.IntN(gap) {
		s := strike{kind: drawKind(rng), from: at, until: at + 1 + rng.IntN(span), draw: rng.Uint64()}
		calmNow := math.Mod(float64(at)/rate, calmPeriod) >= calmPeriod-calm
		if calmNow && (s.kind == platformFault || s.kind == platformOutage) {
			s.kind = entryKilled
		}
		plan = append(plan, s)
	}
	return plan
}

// turn is the begin or the end of a strike.
type turn struct {
	at    int
	index int
	begin bool
}

// turns orders begins and ends by time.
func turns(plan []strike) []turn {
	var all []turn
	for i, s := range plan {
		all = append(all, turn{s.from, i, true}, turn{s.until, i, false})
	}
	slices.SortStableFunc(all, func(a, b turn) int { return cmp.Compare(a.at, b.at) })
	return all
}
