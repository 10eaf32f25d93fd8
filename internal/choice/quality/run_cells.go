package quality

import (
	"cmp"
	"strings"
)

// runCells holds the latest known state of each cell of one run, since a summary may
// contain only some cells.
type runCells struct {
	run   Run
	cells []Entry
	// seqs are the numbers of the summaries that contained the cells.
	seqs []uint64
	// complete is, by version, the number of the summary up to which no cell is missing.
	complete map[string]uint64
}

func (r runCells) compare(run Run) int {
	return cmp.Or(strings.Compare(r.run.Node, run.Node), cmp.Compare(r.run.Epoch, run.Epoch))
}

// update stores a cell unless a later one is known, and reports whether it did.
func (r *runCells) update(entry Entry, seq uint64) bool {
	at := r.index(entry.Key)
	if at < 0 {
		r.cells = append(r.cells, entry)
		r.seqs = append(r.seqs, seq)
		return true
	}
	if r.seqs[at] >= seq {
		return false
	}
	r.cells[at] = entry
	r.seqs[at] = seq
	return true
}

func (r *runCells) index(key Key) int {
	for i := range r.cells {
		if r.cells[i].Key == key {
			return i
		}
	}
	return -1
}

func (r *runCells) add(total *Cell, key Key) {
	if at := r.index(key); at >= 0 {
		total.Plus(r.cells[at].Cell)
	}
}

func (r *runCells) weight(now int64) float64 {
	var total float64
	for i := range r.cells {
		cell := r.cells[i].Cell
		cell.Advance(now)
		total += cell.Weight()
	}
	return total
}

func (r *runCells) latest() int64 {
	var at int64
	for i := range r.cells {
		at = max(at, r.cells[i].Cell.At)
	}
	return at
}
