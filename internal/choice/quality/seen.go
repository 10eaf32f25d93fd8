package quality

import (
	"cmp"
	"strings"
)

// seen is what is known of one run: of each cell the latest state, as no
// summary needs to hold all.
type seen struct {
	run   Run
	cells []Entry
	// seqs are the numbers of the summaries that brought the cells.
	seqs []uint64
	// complete is, by version, up to which summary no cell is missing.
	complete map[string]uint64
}

func (r seen) compare(run Run) int {
	return cmp.Or(strings.Compare(r.run.Node, run.Node), cmp.Compare(r.run.Epoch, run.Epoch))
}

// take keeps a cell unless a later one is known; it says whether it did.
func (r *seen) take(entry Entry, seq uint64) bool {
	at := r.find(entry.Key)
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

func (r *seen) find(key Key) int {
	for i := range r.cells {
		if r.cells[i].Key == key {
			return i
		}
	}
	return -1
}

func (r *seen) add(total *Cell, key Key) {
	if at := r.find(key); at >= 0 {
		total.Plus(r.cells[at].Cell)
	}
}

func (r *seen) weight(now int64) float64 {
	var total float64
	for i := range r.cells {
		cell := r.cells[i].Cell
		cell.Advance(now)
		total += cell.Weight()
	}
	return total
}

func (r *seen) latest() int64 {
	var at int64
	for i := range r.cells {
		at = max(at, r.cells[i].Cell.At)
	}
	return at
}
