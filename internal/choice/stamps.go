package choice

import "github.com/hickorybank/hickorybank/internal/choice/quality"

// stamps numbers the changes of cells at the collector, so that a pool can omit cells
// that its receiver already has.
type stamps struct {
	last  uint64
	cells map[quality.Key]stamp
}

// stamp is the number of a cell's last change and the run that made it.
type stamp struct {
	last uint64
	by   quality.Run
	// lastOther is the last change by any run other than by.
	lastOther uint64
}

// mark counts a change of a cell by a run.
func (s *stamps) mark(key quality.Key, by quality.Run) {
	s.last++
	st := s.cells[key]
	if st.by != by {
		st.lastOther = st.last
		st.by = by
	}
	st.last = s.last
	s.cells[key] = st
}

// lastChange returns the number of the last change of a cell by any run except one.
func (s *stamps) lastChange(key quality.Key, except quality.Run) uint64 {
	st := s.cells[key]
	if st.by == except {
		return st.lastOther
	}
	return st.last
}
