package bill

import (
	"bytes"
	"encoding/gob"

	"github.com/rotisserie/eris"
)

// CompactedObject has the bills of many small objects, or of rows, of a bucket. The small
// objects remain, since the object store deletes nothing, but readers skip them.
type CompactedObject struct {
	// Covers are the keys of the objects and rows whose bills are included.
	Covers []string
	Bills  Columns
}

// Encode returns the gob encoding of the object.
func (f *CompactedObject) Encode() ([]byte, error) {
	var buf bytes.Buffer
	if err := gob.NewEncoder(&buf).Encode(f); err != nil {
		return nil, eris.Wrap(err, "encode compacted object")
	}
	return buf.Bytes(), nil
}

// DecodeCompactedObject decodes a compacted object. It returns an error if the bytes are
// not the encoding of one; Bills.Unpack checks the bills.
func DecodeCompactedObject(data []byte) (CompactedObject, error) {
	var f CompactedObject
	err := gob.NewDecoder(bytes.NewReader(data)).Decode(&f)
	return f, eris.Wrap(err, "decode fold")
}
