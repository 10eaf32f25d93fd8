package archive

import (
	"encoding/binary"

	"github.com/rotisserie/eris"
)

// Update brings a document to a state, by deltas or by the full state.
type Update struct {
	// To is the tag of the state after the update.
	To uint64
	// Deltas are applied in order if Full is empty.
	Deltas []Delta
	// Full is the compressed full state; empty if the update consists of deltas.
	Full []byte
}

// Bytes returns the approximate size of the update, in bytes.
func (u *Update) Bytes() int { return len(u.Full) + totalDeltaBytes(u.Deltas) }

// Encode returns the binary form of the update. It is deterministic, so that an
// interrupted transfer can continue at another node.
func (u *Update) Encode() []byte {
	b := binary.AppendUvarint(nil, u.To)
	b = appendBytes(b, u.Full)
	b = binary.AppendUvarint(b, uint64(len(u.Deltas)))
	for _, d := range u.Deltas {
		b = binary.AppendUvarint(b, d.From)
		b = binary.AppendUvarint(b, d.To)
		b = appendBytes(b, d.Edits)
	}
	return b
}

// appendBytes appends the length of data and data.
func appendBytes(b, data []byte) []byte {
	b = binary.AppendUvarint(b, uint64(len(data)))
	return append(b, data...)
}

// DecodeUpdate decodes the output of Encode. It returns an error if data is missing or
// left over.
func DecodeUpdate(b []byte) (Update, error) {
	r := updateReader{rest: b}
	u := Update{To: r.uvarint(), Full: r.bytes()}
	for n := r.uvarint(); n > 0 && !r.malformed; n-- {
		u.Deltas = append(u.Deltas, Delta{From: r.uvarint(), To: r.uvarint(), Edits: r.bytes()})
	}
	if r.malformed || len(r.rest) > 0 {
		return Update{}, eris.New("update can't be read")
	}
	return u, nil
}

// updateReader decodes the values of an encoded update in order. malformed is set once
// the input is too short or invalid; the value that is read then is zero.
type updateReader struct {
	rest      []byte
	malformed bool
}

func (r *updateReader) uvarint() uint64 {
	n, size := binary.Uvarint(r.rest)
	if size <= 0 {
		r.malformed = true
		return 0
	}
	r.rest = r.rest[size:]
	return n
}

func (r *updateReader) bytes() []byte {
	n := r.uvarint()
	if r.malformed || n > uint64(len(r.rest)) {
		r.malformed = true
		return nil
	}
	data := r.rest[:n:n]
	r.rest = r.rest[n:]
	return data
}
