package archive

import (
	"bytes"
	"encoding/json"
	"sync"

	"github.com/rotisserie/eris"
)

// maxDeltas is of how many changes a node keeps the deltas for its children:
// more than come while a child is away for a minute at the highest rate.
const maxDeltas = 64

// usualPacking is how many times smaller a state is packed: five for organisations,
// 18 for routes that are alike.
const usualPacking = 5

// fewBytes of deltas are kept whatever the size of the state: they are small change for
// a node's memory and its link.
const fewBytes = 16 << 10

// Archive is one state of an item with the deltas that led to it, so that a
// peer that is a little behind gets little. It is immutable.
type Archive struct {
	tag    uint64
	raw    []byte
	deltas []Delta
	// full packs the whole state, once, when a peer needs it.
	full func() []byte
}

// New returns the archive of a state, with the deltas that led to it.
func New(tag uint64, raw []byte, deltas []Delta) *Archive {
	a := &Archive{tag: tag, raw: raw, deltas: deltas}
	a.full = sync.OnceValue(func() []byte { return Pack(raw) })
	return a
}

// Tag names the state; 0 for none.
func (a *Archive) Tag() uint64 {
	if a == nil {
		return 0
	}
	return a.tag
}

// Raw is the state as compact JSON; nobody may change it.
func (a *Archive) Raw() []byte { return a.raw }

// Deltas are those that are kept for peers which are a little behind.
func (a *Archive) Deltas() []Delta { return a.deltas }

// Compact returns JSON without spaces, the form that deltas are made of.
func Compact(encoded []byte) ([]byte, error) {
	var b bytes.Buffer
	if err := json.Compact(&b, encoded); err != nil {
		return nil, eris.Wrap(err, "compact")
	}
	return b.Bytes(), nil
}

// Replace returns the archive of a later state given whole. Without a delta,
// which only costs traffic, it begins anew.
func (a *Archive) Replace(tag uint64, raw []byte) *Archive {
	if a == nil {
		return New(tag, raw, nil)
	}
	d, err := MakeDelta(a.tag, tag, a.raw, raw)
	if err != nil {
		return New(tag, raw, nil)
	}
	return New(tag, raw, a.with(d))
}

// with adds a delta to those that are kept: no more than maxDeltas, and no more bytes
// than the whole would be sent in.
func (a *Archive) with(d Delta) []Delta {
	keep := a.deltas[max(0, len(a.deltas)+1-maxDeltas):]
	keep = append(keep[:len(keep):len(keep)], d)
	most := max(len(a.raw)/usualPacking, fewBytes)
	for size := sizeOfDeltas(keep); size > most && len(keep) > 1; keep = keep[1:] {
		size -= len(keep[0].Edits)
	}
	return keep
}

func sizeOfDeltas(deltas []Delta) (size int) {
	for _, d := range deltas {
		size += len(d.Edits)
	}
	return size
}

// advance applies the deltas that follow on this state.
func (a *Archive) advance(deltas []Delta) (*Archive, error) {
	for len(deltas) > 0 && a != nil && deltas[0].From != a.tag {
		deltas = deltas[1:]
	}
	if a == nil || len(deltas) == 0 {
		return nil, eris.New("deltas do not follow on what is known")
	}
	for _, d := range deltas {
		if d.From != a.tag {
			return nil, eris.New("deltas have a gap")
		}
		raw, err := d.Apply(a.raw)
		if err != nil {
			return nil, err
		}
		a = New(d.To, raw, a.with(d))
	}
	return a, nil
}

// Take applies an update that a peer sent; it works on a nil archive too.
func (a *Archive) Take(u Update) (*Archive, error) {
	if len(u.Full) == 0 {
		return a.advance(u.Deltas)
	}
	raw, err := unpack(u.Full)
	if err != nil {
		return nil, err
	}
	return a.Replace(u.To, raw), nil
}

// Update is what a peer that knows a state needs; nil when it needs nothing.
func (a *Archive) Update(known uint64, full bool) *Update {
	if a == nil || known == a.tag {
		return nil
	}
	if deltas := a.since(known); !full && deltas != nil {
		return &Update{To: a.tag, Deltas: deltas}
	}
	return &Update{To: a.tag, Full: a.full()}
}

// since returns the deltas that lead from a state here, or nil.
func (a *Archive) since(known uint64) []Delta {
	for i := len(a.deltas) - 1; i >= 0; i-- {
		if a.deltas[i].From == known {
			return a.deltas[i:]
		}
	}
	return nil
}
