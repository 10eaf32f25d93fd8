package confsync

import (
	"bytes"
	"encoding/json"
	"sync"

	"github.com/rotisserie/eris"
)

// maxDeltas is of how many changes a node keeps the deltas for its children:
// more than come while a child is away for a minute at the highest rate.
const maxDeltas = 64

// archive is one state of an item with the deltas that led to it, so that a
// peer that is a little behind gets little. It is immutable.
type archive struct {
	tag    uint64
	raw    []byte
	deltas []Delta
	// full packs the whole state, once, when a peer needs it.
	full func() []byte
}

func newArchive(tag uint64, raw []byte, deltas []Delta) *archive {
	a := &archive{tag: tag, raw: raw, deltas: deltas}
	a.full = sync.OnceValue(func() []byte { return compress(raw) })
	return a
}

// compact returns JSON without spaces, the form that deltas are made of.
func compact(encoded []byte) ([]byte, error) {
	var b bytes.Buffer
	if err := json.Compact(&b, encoded); err != nil {
		return nil, eris.Wrap(err, "compact")
	}
	return b.Bytes(), nil
}

// replace returns the archive of a later state given whole. Without a delta,
// which only costs traffic, it begins anew.
func (a *archive) replace(tag uint64, raw []byte) *archive {
	if a == nil {
		return newArchive(tag, raw, nil)
	}
	d, err := MakeDelta(a.tag, tag, a.raw, raw)
	if err != nil {
		return newArchive(tag, raw, nil)
	}
	return newArchive(tag, raw, a.with(d))
}

func (a *archive) with(d Delta) []Delta {
	keep := a.deltas[max(0, len(a.deltas)+1-maxDeltas):]
	return append(keep[:len(keep):len(keep)], d)
}

// advance applies the deltas that follow on this state.
func (a *archive) advance(deltas []Delta) (*archive, error) {
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
		a = newArchive(d.To, raw, a.with(d))
	}
	return a, nil
}

// take applies an update that a peer sent; it works on a nil archive too.
func (a *archive) take(u Update) (*archive, error) {
	if len(u.Full) == 0 {
		return a.advance(u.Deltas)
	}
	raw, err := decompress(u.Full)
	if err != nil {
		return nil, err
	}
	return a.replace(u.To, raw), nil
}

// update is what a peer that knows a state needs; nil when it needs nothing.
func (a *archive) update(known uint64, full bool) *Update {
	if a == nil || known == a.tag {
		return nil
	}
	if deltas := a.since(known); !full && deltas != nil {
		return &Update{To: a.tag, Deltas: deltas}
	}
	return &Update{To: a.tag, Full: a.full()}
}

// since returns the deltas that lead from a state here, or nil.
func (a *archive) since(known uint64) []Delta {
	for i := len(a.deltas) - 1; i >= 0; i-- {
		if a.deltas[i].From == known {
			return a.deltas[i:]
		}
	}
	return nil
}
