package quality

import "slices"

// Book holds the cells of this run.
type Book struct {
	run   Run
	seq   uint64
	cells map[Key]*Cell
	keys  []Key
	// changed is in which summary the latest change of a cell is first.
	changed map[Key]uint64
	// answers are those of a cell since its latest change.
	answers map[Key]float64
}

// newsShare is the share of a cell's answers that must be new for their
// durations and tokens to count as a change: they are known well long before,
// and each answer would else make its cell one that every peer is told of.
const newsShare = 0.1

// NewBook returns an empty book of a run.
func NewBook(run Run) *Book {
	return &Book{run: run, cells: make(map[Key]*Cell), changed: make(map[Key]uint64), answers: make(map[Key]float64)}
}

// Cell returns the cell of that key to be changed, and makes it when there is
// none.
func (b *Book) Cell(key Key) *Cell {
	b.changed[key] = b.seq + 1
	b.answers[key] = 0
	return b.cell(key)
}

// AnswerCell returns the cell of that key for one more answer to be counted. It
// says whether that is news to peers.
func (b *Book) AnswerCell(key Key) (*Cell, bool) {
	cell := b.cell(key)
	b.answers[key]++
	if b.answers[key] <= newsShare*cell.Took.Weight {
		return cell, false
	}
	return b.Cell(key), true
}

func (b *Book) cell(key Key) *Cell {
	cell, ok := b.cells[key]
	if !ok {
		cell = new(Cell)
		b.cells[key] = cell
		b.keys = append(b.keys, key)
	}
	return cell
}

// Changed returns the number of the first summary that holds the cell's latest
// change.
func (b *Book) Changed(key Key) uint64 { return b.changed[key] }

// Add adds what this run has seen of a cell to total.
func (b *Book) Add(total *Cell, key Key) {
	if cell, ok := b.cells[key]; ok {
		total.Plus(*cell)
	}
}

// Summary returns the cells to be included, with a number above that of the
// summary before.
func (b *Book) Summary(include func(Key) bool) Summary {
	b.seq++
	s := Summary{Node: b.run.Node, Epoch: b.run.Epoch, Seq: b.seq}
	for _, key := range b.keys {
		if include(key) {
			s.Cells = append(s.Cells, Entry{Key: key, Cell: b.cells[key].Rounded()})
		}
	}
	return s
}

// Retain drops the cells whose key is not to be kept.
func (b *Book) Retain(keep func(Key) bool) {
	b.keys = slices.DeleteFunc(b.keys, func(key Key) bool {
		if keep(key) {
			return false
		}
		delete(b.cells, key)
		delete(b.changed, key)
		delete(b.answers, key)
		return true
	})
}
