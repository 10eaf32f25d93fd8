package archive

import (
	"encoding/json"

	"github.com/cespare/xxhash/v2"
	"github.com/rotisserie/eris"
)

// Delta turns one state of an encoded item into a later one. A configuration's
// states are named by their revisions, a VM list's by their digests.
type Delta struct {
	From uint64
	To   uint64
	// Edits is the compressed edit script.
	Edits []byte
}

// script is the edit script of a JSON object: its fields in their new order.
type script struct {
	Fields []fieldEdit `json:"f"`
	// Digest is of the whole new state: a delta that was made from another
	// base, or went wrong, is noticed before the result is used.
	Digest uint64 `json:"d"`
}

// fieldEdit gives a field's new value: Value when it is set, else the runs of
// an array.
type fieldEdit struct {
	Name  string          `json:"n"`
	Value json.RawMessage `json:"v,omitempty"`
	Runs  []run           `json:"r,omitempty"`
}

// run copies elements of the old array and adds new ones behind them.
type run struct {
	From  int               `json:"f,omitempty"`
	Count int               `json:"c,omitempty"`
	New   []json.RawMessage `json:"n,omitempty"`
}

// smallChange is the size in bytes up to which a delta is made whatever part of the
// state it is.
const smallChange = 4 << 10

// errMostChanged says that most of a state is new: the whole, packed, is about as
// small, and is read several times as fast.
var errMostChanged = eris.New("most of the state has changed")

// MakeDelta compares two states, each one compact JSON object whose fields may
// be arrays. Elements of arrays that stand in both are not sent.
func MakeDelta(from, to uint64, before, after []byte) (Delta, error) {
	old, err := Fields(before)
	if err != nil {
		return Delta{}, err
	}
	fresh, err := Fields(after)
	if err != nil {
		return Delta{}, err
	}
	s := script{Digest: xxhash.Sum64(after)}
	changed := 0
	for _, f := range fresh {
		edit, err := editField(old, f)
		if err != nil {
			return Delta{}, err
		}
		changed += edit.newBytes()
		s.Fields = append(s.Fields, edit)
	}
	if changed > smallChange && changed > len(after)/2 {
		return Delta{}, errMostChanged
	}
	plain, err := json.Marshal(s)
	if err != nil {
		return Delta{}, eris.Wrap(err, "encode delta")
	}
	return Delta{From: from, To: to, Edits: Pack(plain)}, nil
}

// Apply returns the state after the delta.
func (d Delta) Apply(before []byte) ([]byte, error) {
	plain, err := unpack(d.Edits)
	if err != nil {
		return nil, err
	}
	var s script
	if err := json.Unmarshal(plain, &s); err != nil {
		return nil, eris.Wrap(err, "decode delta")
	}
	old, err := Fields(before)
	if err != nil {
		return nil, err
	}
	after, err := s.build(old)
	if err != nil {
		return nil, err
	}
	if xxhash.Sum64(after) != s.Digest {
		return nil, eris.Errorf("delta from %d to %d does not fit", d.From, d.To)
	}
	return after, nil
}
