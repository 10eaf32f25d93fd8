package archive

import (
	"bytes"
	"encoding/json"
	"sync"

	"github.com/rotisserie/eris"
)

// maxDeltas is the maximum number of deltas that an Archive retains. It exceeds the
// number of changes at the highest rate within a minute, so that a child node that was
// disconnected for a minute still needs no full state.
const maxDeltas = 64

// typicalCompressionRatio is the assumed compression ratio of a state. It is five for
// organisations and 18 for similar routes.
const typicalCompressionRatio = 5

// minRetainedDeltaBytes is the total size of deltas, in bytes, that is retained however
// small the state is. Such a size is negligible for a node's memory and network link.
const minRetainedDeltaBytes = 16 << 10

// Archive is one state of a document with the deltas that led to it, so that a peer
// that is a few changes behind gets a small update. It is immutable.
type Archive struct {
	tag    uint64
	raw    []byte
	deltas []Delta
	// compressed returns the compressed state; it is computed once, on first use.
	compressed func() []byte
}

// New returns the Archive of a state. raw is compact JSON and is not copied. deltas led
// to the state, oldest first; they may be nil.
func New(tag uint64, raw []byte, deltas []Delta) *Archive {
	a := &Archive{tag: tag, raw: raw, deltas: deltas}
	a.compressed = sync.OnceValue(func() []byte { return Compress(raw) })
	return a
}

// Tag identifies the state: a revision or a digest. It is 0 for a nil Archive.
func (a *Archive) Tag() uint64 {
	if a == nil {
		return 0
	}
	return a.tag
}

// Raw returns the state as compact JSON. Callers must not modify it.
func (a *Archive) Raw() []byte { return a.raw }

// Deltas returns the retained deltas, oldest first.
func (a *Archive) Deltas() []Delta { return a.deltas }

// Compact returns JSON without insignificant white space, which is the form that
// MakeDelta, Fields and Elements require. It returns an error for invalid JSON.
func Compact(encoded []byte) ([]byte, error) {
	var b bytes.Buffer
	if err := json.Compact(&b, encoded); err != nil {
		return nil, eris.Wrap(err, "compact")
	}
	return b.Bytes(), nil
}

// Replace returns the Archive of a later state that is given in full. If no delta to
// it can be made, the deltas are dropped, which costs only traffic.
func (a *Archive) Replace(tag uint64, raw []byte) *Archive {
	if a == nil {
		return New(tag, raw, nil)
	}
	d, err := MakeDelta(a.tag, tag, a.raw, raw)
	if err != nil {
		return New(tag, raw, nil)
	}
	return New(tag, raw, a.retainDelta(d))
}

// retainDelta returns the retained deltas followed by d. It drops the oldest ones so that
// at most maxDeltas remain, of at most about as many bytes as the compressed state.
func (a *Archive) retainDelta(d Delta) []Delta {
	retained := a.deltas[max(0, len(a.deltas)+1-maxDeltas):]
	retained = append(retained[:len(retained):len(retained)], d)
	maxBytes := max(len(a.raw)/typicalCompressionRatio, minRetainedDeltaBytes)
	for size := totalDeltaBytes(retained); size > maxBytes && len(retained) > 1; retained = retained[1:] {
		size -= len(retained[0].Edits)
	}
	return retained
}

// totalDeltaBytes returns the total size of the edit scripts, in bytes.
func totalDeltaBytes(deltas []Delta) (size int) {
	for _, d := range deltas {
		size += len(d.Edits)
	}
	return size
}

// applyDeltas applies deltas in order. It skips those before the current state, and
// returns an error if none starts at that state or if one is missing in between.
func (a *Archive) applyDeltas(deltas []Delta) (*Archive, error) {
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
		a = New(d.To, raw, a.retainDelta(d))
	}
	return a, nil
}

// Apply returns the Archive after an update from a peer. A nil Archive accepts an update
// with the full state. It returns an error if the update does not apply.
func (a *Archive) Apply(u Update) (*Archive, error) {
	if len(u.Full) == 0 {
		return a.applyDeltas(u.Deltas)
	}
	raw, err := decompress(u.Full)
	if err != nil {
		return nil, err
	}
	return a.Replace(u.To, raw), nil
}

// Update returns the update for a peer that has the state with the tag known; nil if
// that is the current state. If full is set, the update contains the full state.
func (a *Archive) Update(known uint64, full bool) *Update {
	if a == nil || known == a.tag {
		return nil
	}
	if deltas := a.deltasSince(known); !full && deltas != nil {
		return &Update{To: a.tag, Deltas: deltas}
	}
	return &Update{To: a.tag, Full: a.compressed()}
}

// deltasSince returns the deltas from the state with the tag known to the current one;
// nil if they are not retained.
func (a *Archive) deltasSince(known uint64) []Delta {
	for i := len(a.deltas) - 1; i >= 0; i-- {
		if a.deltas[i].From == known {
			return a.deltas[i:]
		}
	}
	return nil
}
