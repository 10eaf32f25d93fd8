package fleet

import (
	"math"
	"time"
)

const (
	// LastRank is the least urgent rank at an upstream; 0 is the most urgent.
	LastRank = 9
	// middleRank is the rank of an attempt of the usual work and the highest
	// priority.
	middleRank = 3
	// rankPerDoubling is how many ranks an attempt goes back for each doubling
	// of its work. A whole rank leaves the longest prompts behind all others:
	// they are late then, 0.63 of their worth against 0.68 under load.
	rankPerDoubling = 0.5
	// rankPerPriority is how many ranks it goes back for each step of its
	// priority.
	rankPerPriority = 1.0
)

// rankedLoad is the share of an upstream's slots in use up to which ranks are given. An
// urgent request that finds a full batch takes the slot of a running one, which is read
// again and pauses: where batches are small, one in ten was.
const rankedLoad = 0.6

// Rank is the place of an attempt in its upstream's queue, 0 to [LastRank]: short work
// first, weighed by the request's priority, and the last place where the batch fills up, so
// that it stops nothing that runs.
func (f *Fleet) Rank(u *Upstream, w *AttemptSpec, priority int, now time.Time) int {
	if u.load(now) > rankedLoad {
		return LastRank
	}
	size := math.Log2(max(float64(w.Tokens)*max(w.Weight, leastWeight), 1) / f.meanWork(w))
	rank := middleRank + rankPerDoubling*size + rankPerPriority*float64(max(priority, 0))
	return int(min(max(math.Round(rank), 0), LastRank-1))
}
