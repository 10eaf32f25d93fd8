package quality

import (
	"math"
	"slices"
)

// MaxRuns bounds how many runs a [Store] keeps. A group has at most some tens
// of nodes; the rest are runs that have ended and decay.
const MaxRuns = 256

// forgotten is the weight of ratings below which an ended run is dropped.
const forgotten = 0.5

// Store keeps the latest cells of each run. What a run has seen stays when its
// node is gone, until it has decayed.
type Store struct {
	runs []seen // in the order of their runs, so that sums do not depend on the order of merging
}

// NewStore returns an empty store.
func NewStore() *Store { return new(Store) }

// Merge keeps those cells of the summary of which no later ones of the same run
// are known; it says whether there are any. Neither the order in which
// summaries come nor how the cells are spread over them matters.
func (s *Store) Merge(sum Summary) bool {
	kept := false
	s.MergeEach(sum, func(Key) { kept = true })
	return kept
}

// MergeEach merges and calls did for each cell that it keeps.
func (s *Store) MergeEach(sum Summary, did func(Key)) {
	run := s.of(sum.Run())
	for _, entry := range sum.Cells {
		if run.take(entry, sum.Seq) {
			did(entry.Key)
		}
	}
	if len(s.runs) > MaxRuns {
		s.dropLightest()
	}
}

// Complete notes that with the summary of the given number every cell of the
// version that had changed since the base has come, and returns up to which
// summary of the run nothing is missing. When that is less than the base, the
// store has lost or never had what was sent before.
func (s *Store) Complete(run Run, version string, base, seq uint64) uint64 {
	r := s.of(run)
	have := r.complete[version]
	if base <= have && seq > have {
		r.complete[version] = seq
	}
	return r.complete[version]
}

// of returns the run, which it adds when it is not known.
func (s *Store) of(run Run) *seen {
	at, known := slices.BinarySearchFunc(s.runs, run, seen.compare)
	if !known {
		s.runs = slices.Insert(s.runs, at, seen{run: run, complete: map[string]uint64{}})
	}
	return &s.runs[at]
}

// Len is how many runs are known.
func (s *Store) Len() int { return len(s.runs) }

// Add adds what the runs to be included have seen of a cell to total.
func (s *Store) Add(total *Cell, key Key, include func(Run) bool) {
	for i := range s.runs {
		if include(s.runs[i].run) {
			s.runs[i].add(total, key)
		}
	}
}

// Forget drops the runs whose ratings have decayed to nothing.
func (s *Store) Forget(now int64) {
	s.runs = slices.DeleteFunc(s.runs, func(r seen) bool { return r.weight(now) < forgotten })
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
		at = max(at, s.runs[i].latest())
	}
	return at
}
