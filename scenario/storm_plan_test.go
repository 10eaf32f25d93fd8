package scenario

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
)

// plannedFault is one fault of a storm. It starts and ends when the load has started the
// given numbers of requests.
type plannedFault struct {
	kind  faultKind
	from  int
	until int
	// draw seeds the random choices made when the fault is injected.
	draw uint64
}

const (
	minFaultGap  = 0.2 // minimum seconds between two faults; the maximum is twice that
	maxFaultTime = 4.0 // maximum duration of a fault in seconds
	// calmPeriod is the interval in seconds between two calm phases without platform faults.
	calmPeriod = 20.0
)

// planStorm draws the faults of a storm with the given number of requests, at a rate in
// requests per second. No fault falls on the first and the last requests. In the last calm
// seconds of each period, entry kills replace platform faults: under continuous platform
// faults, bills are always in peers' memory and almost no entry may be killed.
func planStorm(seed uint64, requests int, rate, calm float64) []plannedFault {
	rng := rand.New(rand.NewPCG(seed, 2))
	gap, span := max(1, int(minFaultGap*rate)), max(1, int(maxFaultTime*rate))
	var plan []plannedFault
	for at := gap; at < requests-span; at += gap + rng.IntN(gap) {
		s := plannedFault{kind: drawKind(rng), from: at, until: at + 1 + rng.IntN(span), draw: rng.Uint64()}
		calmNow := math.Mod(float64(at)/rate, calmPeriod) >= calmPeriod-calm
		if calmNow && (s.kind == platformFault || s.kind == platformOutage) {
			s.kind = entryKilled
		}
		plan = append(plan, s)
	}
	return plan
}

// faultEdge is the start or the end of a fault.
type faultEdge struct {
	at    int
	index int
	begin bool
}

// faultEdges returns the starts and ends of all faults, sorted by request number.
func faultEdges(plan []plannedFault) []faultEdge {
	var all []faultEdge
	for i, s := range plan {
		all = append(all, faultEdge{s.from, i, true}, faultEdge{s.until, i, false})
	}
	slices.SortStableFunc(all, func(a, b faultEdge) int { return cmp.Compare(a.at, b.at) })
	return all
}
