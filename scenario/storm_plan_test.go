package scenario

import (
	"cmp"
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
)

// planStorm draws the strikes of a storm of so many requests, at a rate in
// requests a second; the first and the last requests meet none.
func planStorm(seed uint64, requests int, rate float64) []strike {
	rng := rand.New(rand.NewPCG(seed, 2))
	gap, span := max(1, int(strikeGap*rate)), max(1, int(strikeSpan*rate))
	var plan []strike
	for at := gap; at < requests-span; at += gap + rng.IntN(gap) {
		plan = append(plan, strike{
			kind: drawKind(rng), from: at,
			until: at + 1 + rng.IntN(span), draw: rng.Uint64(),
		})
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
