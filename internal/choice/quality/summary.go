package quality

import (
	"cmp"
	"strings"
)

// Summary is what one run of one node has seen, for its peers. It is
// cumulative: a later one of the same run replaces an earlier one, so that
// merging it again, or an older one after it, changes nothing.
type Summary struct {
	// Node and Epoch name the run; a later run has a higher epoch.
	Node  string
	Epoch uint64
	// Seq grows with each summary of the run.
	Seq   uint64
	Cells []Entry
}

// Entry is one cell of a summary.
type Entry struct {
	Key  Key
	Cell Cell
}

// Run names one run of one node.
type Run struct {
	Node  string
	Epoch uint64
}

// Run returns whose summary it is.
func (s Summary) Run() Run { return Run{Node: s.Node, Epoch: s.Epoch} }

func (s Summary) compare(run Run) int {
	return cmp.Or(strings.Compare(s.Node, run.Node), cmp.Compare(s.Epoch, run.Epoch))
}

func (s Summary) add(total *Cell, key Key) {
	for i := range s.Cells {
		if s.Cells[i].Key == key {
			total.Plus(s.Cells[i].Cell)
			return
		}
	}
}

func (s Summary) weight(now int64) float64 {
	var total float64
	for i := range s.Cells {
		cell := s.Cells[i].Cell
		cell.Advance(now)
		total += cell.Weight()
	}
	return total
}
