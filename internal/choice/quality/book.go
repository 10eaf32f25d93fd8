package quality

import "slices"

// Book holds the cells of this run.
type Book struct {
	run   Run
	seq   uint64
	cells map[Key]*Cell
	keys  []Key
}

// NewBook returns an empty book of a run.
func NewBook(run Run) *Book { return &Book{run: run, cells: make(map[Key]*Cell)} }

// Cell returns the cell of that key, which it makes when there is none.
func (b *Book) Cell(key Key) *Cell {
	cell, ok := b.cells[key]
	if !ok {
		cell = new(Cell)
		b.cells[key] = cell
		b.keys = append(b.keys, key)
	}
	return cell
}

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
		return true
	})
}
