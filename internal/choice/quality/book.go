package quality

import "slices"

// Book holds the cells that this run has observed, and numbers its summaries. It is not
// safe for concurrent use.
type Book struct {
	run   Run
	seq   uint64
	cells map[Key]*Cell
	keys  []Key
	// changed is the number of the first summary that contains the latest change of a
	// cell.
	changed map[Key]uint64
	// newAnswers counts the answers of a cell since its latest change.
	newAnswers map[Key]float64
}

// changedShare is the share of a cell's answers that must be new for its durations and
// tokens to count as changed. They are well known long before, and otherwise each answer
// would cause its cell to be sent to every peer.
const changedShare = 0.1

// NewBook returns an empty book of a run.
func NewBook(run Run) *Book {
	return &Book{run: run, cells: make(map[Key]*Cell), changed: make(map[Key]uint64), newAnswers: make(map[Key]float64)}
}

// Cell returns the cell with the key for modification, and creates it if necessary. The
// cell counts as changed.
func (b *Book) Cell(key Key) *Cell {
	b.changed[key] = b.seq + 1
	b.newAnswers[key] = 0
	return b.cell(key)
}

// AnswerCell returns the cell with the key for adding one answer. It reports whether the
// cell counts as changed, so that peers need it.
func (b *Book) AnswerCell(key Key) (*Cell, bool) {
	cell := b.cell(key)
	b.newAnswers[key]++
	if b.newAnswers[key] <= changedShare*cell.Took.Weight {
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

// Changed returns the number of the first summary that contains the cell's latest change,
// or 0 for an unknown cell.
func (b *Book) Changed(key Key) uint64 { return b.changed[key] }

// Add adds this run's cell to total.
func (b *Book) Add(total *Cell, key Key) {
	if cell, ok := b.cells[key]; ok {
		total.Plus(*cell)
	}
}

// Summary returns the cells that include selects. Each summary has a higher number than
// the one before.
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

// Retain drops the cells whose key keep rejects.
func (b *Book) Retain(keep func(Key) bool) {
	b.keys = slices.DeleteFunc(b.keys, func(key Key) bool {
		if keep(key) {
			return false
		}
		delete(b.cells, key)
		delete(b.changed, key)
		delete(b.newAnswers, key)
		return true
	})
}
