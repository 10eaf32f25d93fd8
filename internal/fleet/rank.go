package fleet

import (
	"math"
	"time"
)

const (
	// LastRank is the least urgent rank in an upstream's queue; 0 is the most urgent.
	LastRank = 9
	// middleRank is the rank of an attempt with the mean work and the highest priority.
	middleRank = 3
	// rankPerDoubling is the increase in rank for each doubling of the work. With a whole
	// rank, the longest prompts wait behind all others and are late: under load they
	// achieve 0.63 of their possible value instead of 0.68.
	rankPerDoubling = 0.5
	// rankPerPriority is the increase in rank for each step of the request's priority.
	rankPerPriority = 1.0
)

// rankedLoad is the share of an upstream's slots in use up to which ranks are assigned. An
// urgent request that finds a full batch preempts a running one, whose prefill is repeated
// and whose response pauses. With small batches, this affected one request in ten.
const rankedLoad = 0.6

// Rank returns the rank of an attempt in its upstream's queue, 0 to [LastRank]. Short work
// goes first, weighted by the request's priority. If the batch is nearly full, the rank is
// the last one, so that the attempt preempts nothing.
func (f *Fleet) Rank(u *Upstream, spec *AttemptSpec, priority int, now time.Time) int {
	if u.load(now) > rankedLoad {
		return LastRank
	}
	size := math.Log2(max(float64(spec.Tokens)*max(spec.Weight, minWeight), 1) / f.meanWork(spec))
	rank := middleRank + rankPerDoubling*size + rankPerPriority*float64(max(priority, 0))
	return int(min(max(math.Round(rank), 0), LastRank-1))
}
