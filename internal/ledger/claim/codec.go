package claim

import (
	"bytes"
	"encoding/gob"

	"github.com/rotisserie/eris"

	"github.com/hickorybank/hickorybank/internal/ledger/bill"
	"github.com/hickorybank/hickorybank/internal/ledger/key"
	"github.com/hickorybank/hickorybank/internal/request"
)

// wireRow is the gob encoding of a row, with one column per field. Gob is compact and
// fast on byte slices and slices of numbers, but not on byte arrays. Only claims have
// values in Prints and Nodes, and only settlements in Outcomes and Answers.
type wireRow struct {
	Writer   string
	Number   uint64
	Base     int64 // At of the first entry
	Kinds    []byte
	IDs      []byte
	Attempts []byte
	After    []int64 // At minus Base
	Prints   []byte
	Names    []string // names of nodes, indexed by Nodes
	Nodes    []uint
	Outcomes []string
	Answers  [][]byte
	Bills    bill.Columns
	BillOf   []uint // index of each bill's entry
}

const printSize = len(request.Fingerprint{})

// Encode returns the gob encoding of the row.
func (r *Row) Encode() ([]byte, error) {
	var buf bytes.Buffer
	if err := gob.NewEncoder(&buf).Encode(r.columns()); err != nil {
		return nil, eris.Wrap(err, "encode claim row")
	}
	return buf.Bytes(), nil
}

func (r *Row) columns() *wireRow {
	w := &wireRow{Writer: r.Writer, Number: r.Number}
	if len(r.Entries) > 0 {
		w.Base = r.Entries[0].At
	}
	names := map[string]uint{}
	var bills []bill.Bill
	for i := range r.Entries {
		e := &r.Entries[i]
		w.addCommon(e)
		switch e.Kind {
		case KindClaim:
			w.addClaim(e, names)
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

func (w *wireRow) addCommon(e *Entry) {
	w.Kinds = append(w.Kinds, byte(e.Kind))
	w.IDs = append(w.IDs, e.ID[:]...)
	w.Attempts = append(w.Attempts, e.Attempt[:]...)
	w.After = append(w.After, e.At-w.Base)
}

func (w *wireRow) addClaim(e *Entry, names map[string]uint) {
	w.Prints = append(w.Prints, e.Print[:]...)
	n, ok := names[e.Node]
	if !ok {
		n = uint(len(w.Names))
		names[e.Node] = n
		w.Names = append(w.Names, e.Node)
	}
	w.Nodes = append(w.Nodes, n)
}

// errMalformedRow means that decoded columns do not form a valid claim row.
var errMalformedRow = eris.New("malformed claim row")

// Decode decodes a row. It returns an error if the bytes are not a complete valid row.
func Decode(data []byte) (Row, error) {
	var w wireRow
	if err := gob.NewDecoder(bytes.NewReader(data)).Decode(&w); err != nil {
		return Row{}, eris.Wrap(err, "decode claim row")
	}
	if !w.consistent() {
		return Row{}, errMalformedRow
	}
	return w.row()
}

// consistent reports whether the lengths of the columns match the kinds of entries.
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
				return Row{}, errMalformedRow
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
	return r, w.attachBills(r.Entries)
}

// attachBills sets the bills of the settlements.
func (w *wireRow) attachBills(entries []Entry) error {
	bills, err := w.Bills.Unpack()
	if err != nil {
		return err
	}
	if len(bills) != len(w.BillOf) {
		return errMalformedRow
	}
	for i, of := range w.BillOf {
		if of >= uint(len(entries)) || entries[of].Kind != KindSettle {
			return errMalformedRow
		}
		entries[of].Bill = &bills[i]
	}
	return nil
}
