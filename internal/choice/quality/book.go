package quality

import "slices"

// Recorder holds the cells that this run has observed, and numbers its summaries. It is not
// safe for concurrent use.
type Recorder struct {
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

// NewRecorder returns an empty recorder for a run.
func NewRecorder(run Run) *Recorder {
	return &Recorder{run: run, cells: make(map[Key]*Cell), changed: make(map[Key]uint64), newAnswers: make(map[Key]float64)}
}

// Cell returns the cell with the key for modification, and creates it if necessary. The
// cell counts as changed.
func (r *Recorder) Cell(key Key) *Cell {
	r.changed[key] = r.seq + 1
	r.newAnswers[key] = 0
	return r.cell(key)
}

// AnswerCell returns the cell with the key for adding one answer. It reports whether the
// cell counts as changed, so that peers need it.
func (r *Recorder) AnswerCell(key Key) (*Cell, bool) {
	cell := r.cell(key)
	r.newAnswers[key]++
	if r.newAnswers[key] <= changedShare*cell.Took.Weight {
		return cell, false
	}
	return r.Cell(key), true
}

func (r *Recorder) cell(key Key) *Cell {
	cell, ok := r.cells[key]
	if !ok {
		cell = new(Cell)
		r.cells[key] = cell
		r.keys = append(r.keys, key)
	}
	return cell
}

// Changed returns the number of the first summary that contains the cell's latest change,
// or 0 for an unknown cell.
func (r *Recorder) Changed(key Key) uint64 { return r.changed[key] }

// Add adds this run's cell to total.
func (r *Recorder) Add(total *Cell, key Key) {
	if cell, ok := r.cells[key]; ok {
		total.Plus(*cell)
	}
}

// Summary returns the cells that include selects. Each summary has a higher number than
// the one before.
func (r *Recorder) Summary(include func(Key) bool) Summary {
	r.seq++
	s := Summary{Node: r.run.Node, Epoch: r.run.Epoch, Seq: r.seq}
	for _, key := range r.keys {
		if include(key) {
			s.Cells = append(s.Cells, Entry{Key: key, Cell: r.cells[key].Rounded()})
		}
	}
	return s
}

// Retain drops the cells whose key keep rejects.
func (r *Recorder) Retain(keep func(Key) bool) {
	r.keys = slices.DeleteFunc(r.keys, func(key Key) bool {
		if keep(key) {
			return false
		}
		delete(r.cells, key)
		delete(r.changed, key)
		delete(r.newAnswers, key)
		return true
	})
}
