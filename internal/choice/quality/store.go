package quality

import (
	"math"
	"slices"
)

// MaxRuns bounds the number of runs in a [Store]. A group has at most some tens of nodes;
// the others are ended runs whose weights decay.
const MaxRuns = 256

// minRunWeight is the weight below which an ended run is dropped.
const minRunWeight = 0.5

// Store keeps the latest cells of each run. The cells of a run whose process has ended
// are kept until they have decayed. It is not safe for concurrent use.
type Store struct {
	runs []runCells // sorted by run, so that sums do not depend on the order of merging
}

// NewStore returns an empty store.
func NewStore() *Store { return new(Store) }

// Merge stores the cells of the summary that are later than those known of the same run,
// and reports whether there are any. The result depends neither on the order of summaries
// nor on how cells are distributed over them.
func (s *Store) Merge(sum Summary) bool {
	kept := false
	s.MergeEach(sum, func(Key) { kept = true })
	return kept
}

// MergeEach is like Merge and calls updated for each cell that it stores.
func (s *Store) MergeEach(sum Summary, updated func(Key)) {
	run := s.run(sum.Run())
	for _, entry := range sum.Cells {
		if run.update(entry, sum.Seq) {
			updated(entry.Key)
		}
	}
	if len(s.runs) > MaxRuns {
		s.dropLightest()
	}
}

// Complete records that the summary seq contains every cell of the version that changed
// since the summary base. It returns the number of the summary up to which no cell of the
// run is missing. If that is less than base, the store lacks cells that were sent
// earlier.
func (s *Store) Complete(run Run, version string, base, seq uint64) uint64 {
	r := s.run(run)
	have := r.complete[version]
	if base <= have && seq > have {
		r.complete[version] = seq
	}
	return r.complete[version]
}

// run returns the cells of a run, and adds the run if it is not known.
func (s *Store) run(run Run) *runCells {
	at, known := slices.BinarySearchFunc(s.runs, run, runCells.compare)
	if !known {
		s.runs = slices.Insert(s.runs, at, runCells{run: run, complete: map[string]uint64{}})
	}
	return &s.runs[at]
}

// Len returns the number of known runs.
func (s *Store) Len() int { return len(s.runs) }

// Add adds to total the cells with the key of the runs that include selects.
func (s *Store) Add(total *Cell, key Key, include func(Run) bool) {
	for i := range s.runs {
		if include(s.runs[i].run) {
			s.runs[i].add(total, key)
		}
	}
}

// Forget drops the runs whose weights have decayed to almost nothing.
func (s *Store) Forget(now int64) {
	s.runs = slices.DeleteFunc(s.runs, func(r runCells) bool { return r.weight(now) < minRunWeight })
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
