package choice

import "github.com/hickorybank/hickorybank/internal/choice/quality"

// stamps number the changes of cells at the node that collects them, so that
// a pool need not hold again what its asker has.
type stamps struct {
	last  uint64
	cells map[quality.Key]stamp
}

// stamp is when a cell was changed last, and by whom.
type stamp struct {
	last uint64
	by   quality.Run
	// other is the last change by any other run than by.
	other uint64
}

// mark counts a change of a cell by a run.
func (s *stamps) mark(key quality.Key, by quality.Run) {
	s.last++
	st := s.cells[key]
	if st.by != by {
		st.other = st.last
		st.by = by
	}
	st.last = s.last
	s.cells[key] = st
}

// of returns the last change of a cell by any run but one.
func (s *stamps) of(key quality.Key, except quality.Run) uint64 {
	st := s.cells[key]
	if st.by == except {
		return st.other
	}
	return st.last
}
