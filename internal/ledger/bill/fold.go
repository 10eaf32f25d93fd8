package bill

import (
	"bytes"
	"encoding/gob"

	"github.com/rotisserie/eris"
)

// Fold is an object that stands for many small ones of a bucket. These stay,
// since the object store deletes nothing, but need not be read.
type Fold struct {
	// Covers are the keys of the objects whose bills are here.
	Covers []string
	Bills  Columns
}

// Encode returns the bytes of the fold.
func (f *Fold) Encode() ([]byte, error) {
	var buf bytes.Buffer
	if err := gob.NewEncoder(&buf).Encode(f); err != nil {
		return nil, eris.Wrap(err, "encode fold")
	}
	return buf.Bytes(), nil
}

// DecodeFold reads a fold; bytes that are none give an error.
func DecodeFold(data []byte) (Fold, error) {
	var f Fold
	err := gob.NewDecoder(bytes.NewReader(data)).Decode(&f)
	return f, eris.Wrap(err, "decode fold")
}
