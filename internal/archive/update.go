package archive

import (
	"encoding/binary"

	"github.com/rotisserie/eris"
)

// Update brings an item up to a state: by deltas, or whole.
type Update struct {
	To     uint64
	Deltas []Delta
	// Full is the compressed state; empty when deltas suffice.
	Full []byte
}

// Bytes is about how long the update is.
func (u *Update) Bytes() int { return len(u.Full) + sizeOfDeltas(u.Deltas) }

// Encode returns the update's bytes. Every node that makes the same update makes the
// same bytes, so that a transfer can go on at another node.
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

func appendBytes(b, data []byte) []byte {
	b = binary.AppendUvarint(b, uint64(len(data)))
	return append(b, data...)
}

// DecodeUpdate reads what Encode made.
func DecodeUpdate(b []byte) (Update, error) {
	r := reader{left: b}
	u := Update{To: r.number(), Full: r.bytes()}
	for n := r.number(); n > 0 && !r.bad; n-- {
		u.Deltas = append(u.Deltas, Delta{From: r.number(), To: r.number(), Edits: r.bytes()})
	}
	if r.bad || len(r.left) > 0 {
		return Update{}, eris.New("update can't be read")
	}
	return u, nil
}

// reader takes an encoded update apart; bad is set once something is missing.
type reader struct {
	left []byte
	bad  bool
}

func (r *reader) number() uint64 {
	n, size := binary.Uvarint(r.left)
	if size <= 0 {
		r.bad = true
		return 0
	}
	r.left = r.left[size:]
	return n
}

func (r *reader) bytes() []byte {
	n := r.number()
	if r.bad || n > uint64(len(r.left)) {
		r.bad = true
		return nil
	}
	data := r.left[:n:n]
	r.left = r.left[n:]
	return data
}
