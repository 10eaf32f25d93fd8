package quality

import (
	"math"
	"slices"
)

// MaxRuns bounds how many runs' summaries a [Store] keeps. A group has at most
// some tens of nodes; the rest are runs that have ended and decay.
const MaxRuns = 256

// forgotten is the weight of ratings below which an ended run is dropped.
const forgotten = 0.5

// Store keeps the latest summary of each run. What a run has seen stays when
// its node is gone, until it has decayed.
type Store struct {
	runs []Summary // in the order of their runs, so that sums do not depend on the order of merging
}

// NewStore returns an empty store.
func NewStore() *Store { return new(Store) }

// Merge keeps the summary unless a later one of the same run is known; it says
// whether it was kept. The order in which summaries come does not matter.
func (s *Store) Merge(sum Summary) bool {
	at, known := slices.BinarySearchFunc(s.runs, sum.Run(), Summary.compare)
	if known && s.runs[at].Seq >= sum.Seq {
		return false
	}
	if known {
		s.runs[at] = sum
		return true
	}
	s.runs = slices.Insert(s.runs, at, sum)
	if len(s.runs) > MaxRuns {
		s.dropLightest()
	}
	return true
}

// Len is how many runs are known.
func (s *Store) Len() int { return len(s.runs) }

// Add adds what the runs to be included have seen of a cell to total.
func (s *Store) Add(total *Cell, key Key, include func(Run) bool) {
	for i := range s.runs {
		if include(s.runs[i].Run()) {
			s.runs[i].add(total, key)
		}
	}
}

// Forget drops the runs whose ratings have decayed to nothing.
func (s *Store) Forget(now int64) {
	s.runs = slices.DeleteFunc(s.runs, func(sum Summary) bool { return sum.weight(now) < forgotten })
}

func (s *Store) dropLightest() {
	lightest := 0
	least := math.Inf(1)
	latest := s.latest()
	for i := range s.runs {
		if weight := s.runs[i].weight(latest); weight < least {
			least = weight
			lightest = i
		}
	}
	s.runs = slices.Delete(s.runs, lightest, lightest+1)
}

func (s *Store) latest() int64 {
	var at int64
	for i := range s.runs {
		for j := range s.runs[i].Cells {
			at = max(at, s.runs[i].Cells[j].Cell.At)
		}
	}
	return at
}
