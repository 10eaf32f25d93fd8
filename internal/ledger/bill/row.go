package bill

import (
	"bytes"
	"encoding/gob"

	"github.com/rotisserie/eris"

	"github.com/hickorybank/hickorybank/internal/ledger/key"
)

// Row is an immutable row, or object, of bills. The writer is a process, which uses each
// sequence number for one row only. So it is safe to write the same row several times.
type Row struct {
	Bucket key.Bucket
	Writer string
	Seq    uint64
	Bills  Columns
}

// Key returns the key of the row in the table and in the object store.
func (r *Row) Key() string { return r.Bucket.Row(r.Writer, r.Seq) }

// Encode returns the gob encoding of the row's bills.
func (r *Row) Encode() ([]byte, error) {
	var buf bytes.Buffer
	if err := gob.NewEncoder(&buf).Encode(&r.Bills); err != nil {
		return nil, eris.Wrap(err, "encode bills")
	}
	return buf.Bytes(), nil
}

// Decode decodes the bills of a row. It returns an error if the bytes are not a valid
// encoding.
func Decode(data []byte) ([]Bill, error) {
	var c Columns
	if err := gob.NewDecoder(bytes.NewReader(data)).Decode(&c); err != nil {
		return nil, eris.Wrap(err, "decode bills")
	}
	return c.Unpack()
}
