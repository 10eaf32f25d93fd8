package claim

import (
	"bytes"
	"encoding/gob"

	"github.com/rotisserie/eris"

	"github.com/hickorybank/hickorybank/internal/ledger/bill"
	"github.com/hickorybank/hickorybank/internal/ledger/key"
	"github.com/hickorybank/hickorybank/internal/request"
)

// wireRow is a row as gob carries it: a column for each field, since gob is
// compact and fast on byte slices and slices of numbers, and neither on arrays
// of bytes. Claims fill Prints and Nodes, settlements Outcomes and Answers.
type wireRow struct {
	Writer   string
	Number   uint64
	Base     int64 // the first entry's At
	Kinds    []byte
	IDs      []byte
	Attempts []byte
	After    []int64 // At after Base
	Prints   []byte
	Names    []string // the nodes that Nodes counts through
	Nodes    []uint
	Outcomes []string
	Answers  [][]byte
	Bills    bill.Columns
	BillOf   []uint // the entry of each bill
}

const printSize = len(request.Fingerprint{})

// Encode returns the row's bytes.
func (r *Row) Encode() ([]byte, error) {
	var buf bytes.Buffer
	if err := gob.NewEncoder(&buf).Encode(r.wire()); err != nil {
		return nil, eris.Wrap(err, "encode claim row")
	}
	return buf.Bytes(), nil
}

func (r *Row) wire() *wireRow {
	w := &wireRow{Writer: r.Writer, Number: r.Number}
	if len(r.Entries) > 0 {
		w.Base = r.Entries[0].At
	}
	names := map[string]uint{}
	var bills []bill.Bill
	for i := range r.Entries {
		e := &r.Entries[i]
		w.common(e)
		switch e.Kind {
		case KindClaim:
			w.claim(e, names)
		case KindSettle:
			w.Outcomes = append(w.Outcomes, string(e.Outcome))
			w.Answers = append(w.Answers, e.Answer)
		}
		if e.Bill != nil {
			bills = append(bills, *e.Bill)
			w.BillOf = append(w.BillOf, uint(i))
		}
	}
	w.Bills = bill.Pack(bills)
	return w
}

func (w *wireRow) common(e *Entry) {
	w.Kinds = append(w.Kinds, byte(e.Kind))
	w.IDs = append(w.IDs, e.ID[:]...)
	w.Attempts = append(w.Attempts, e.Attempt[:]...)
	w.After = append(w.After, e.At-w.Base)
}

func (w *wireRow) claim(e *Entry, names map[string]uint) {
	w.Prints = append(w.Prints, e.Print[:]...)
	n, ok := names[e.Node]
	if !ok {
		n = uint(len(w.Names))
		names[e.Node] = n
		w.Names = append(w.Names, e.Node)
	}
	w.Nodes = append(w.Nodes, n)
}

// errRow says that the bytes are not a claim row.
var errRow = eris.New("malformed claim row")

// Decode reads a row; bytes that are not one give an error.
func Decode(data []byte) (Row, error) {
	var w wireRow
	if err := gob.NewDecoder(bytes.NewReader(data)).Decode(&w); err != nil {
		return Row{}, eris.Wrap(err, "decode claim row")
	}
	if !w.consistent() {
		return Row{}, errRow
	}
	return w.row()
}

// consistent says whether the columns fit each other.
func (w *wireRow) consistent() bool {
	n := len(w.Kinds)
	if len(w.IDs) != n*key.Size || len(w.Attempts) != n*key.Size || len(w.After) != n {
		return false
	}
	claims := bytes.Count(w.Kinds, []byte{byte(KindClaim)})
	settles := bytes.Count(w.Kinds, []byte{byte(KindSettle)})
	releases := bytes.Count(w.Kinds, []byte{byte(KindRelease)})
	return claims+settles+releases == n &&
		len(w.Prints) == claims*printSize && len(w.Nodes) == claims &&
		len(w.Outcomes) == settles && len(w.Answers) == settles
}

func (w *wireRow) row() (Row, error) {
	r := Row{Writer: w.Writer, Number: w.Number, Entries: make([]Entry, len(w.Kinds))}
	claims, settles := 0, 0
	for i := range r.Entries {
		e := &r.Entries[i]
		e.Kind = Kind(w.Kinds[i])
		e.ID = key.ID(w.IDs[i*key.Size:])
		e.Attempt = key.ID(w.Attempts[i*key.Size:])
		e.At = w.Base + w.After[i]
		switch e.Kind {
		case KindClaim:
			if w.Nodes[claims] >= uint(len(w.Names)) {
				return Row{}, errRow
			}
			e.Print = request.Fingerprint(w.Prints[claims*printSize:])
			e.Node = w.Names[w.Nodes[claims]]
			claims++
		case KindSettle:
			e.Outcome = request.Outcome(w.Outcomes[settles])
			e.Answer = w.Answers[settles]
			settles++
		}
	}
	return r, w.attach(r.Entries)
}

// attach gives the settlements their bills.
func (w *wireRow) attach(entries []Entry) error {
	bills, err := w.Bills.Unpack()
	if err != nil {
		return err
	}
	if len(bills) != len(w.BillOf) {
		return errRow
	}
	for i, of := range w.BillOf {
		if of >= uint(len(entries)) || entries[of].Kind != KindSettle {
			return errRow
		}
		entries[of].Bill = &bills[i]
	}
	return nil
}
