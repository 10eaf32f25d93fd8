package bill

import (
	"bytes"
	"encoding/gob"

	"github.com/rotisserie/eris"

	"github.com/hickorybank/hickorybank/internal/ledger/key"
)

// Row is one immutable row, or object, of bills. Its writer is a process, and
// a process gives each number to one row only; so the row may be written any
// number of times.
type Row struct {
	Bucket key.Bucket
	Writer string
	Seq    uint64
	Bills  Columns
}

// Key is the key of the row in the table, and of the object.
func (r *Row) Key() string { return r.Bucket.Row(r.Writer, r.Seq) }

// Encode returns the bytes of the row's bills.
func (r *Row) Encode() ([]byte, error) {
	var buf bytes.Buffer
	if err := gob.NewEncoder(&buf).Encode(&r.Bills); err != nil {
		return nil, eris.Wrap(err, "encode bills")
	}
	return buf.Bytes(), nil
}

// Decode reads the bills of a row; bytes that are none give an error.
func Decode(data []byte) ([]Bill, error) {
	var c Columns
	if err := gob.NewDecoder(bytes.NewReader(data)).Decode(&c); err != nil {
		return nil, eris.Wrap(err, "decode bills")
	}
	return c.Unpack()
}
