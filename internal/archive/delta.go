package archive

import (
	"encoding/json"

	"github.com/cespare/xxhash/v2"
	"github.com/rotisserie/eris"
)

// Delta turns one state of a document into a later one. States are identified by tags:
// a configuration's by its revision, a VM list's by its digest.
type Delta struct {
	// From is the tag of the earlier state.
	From uint64
	// To is the tag of the later state.
	To uint64
	// Edits is the compressed edit script.
	Edits []byte
}

// script is the edit script of a JSON object. It lists the fields in their new order.
type script struct {
	Fields []fieldEdit `json:"f"`
	// Digest is the xxhash of the whole new state. It detects a delta that is damaged
	// or was made from another base before the result is used.
	Digest uint64 `json:"d"`
}

// fieldEdit is the new value of a field: Value if it is set, otherwise an array that
// consists of Runs.
type fieldEdit struct {
	Name  string          `json:"n"`
	Value json.RawMessage `json:"v,omitempty"`
	Runs  []run           `json:"r,omitempty"`
}

// run is a part of the new array: Count elements of the old array from index From,
// followed by the new elements New.
type run struct {
	From  int               `json:"f,omitempty"`
	Count int               `json:"c,omitempty"`
	New   []json.RawMessage `json:"n,omitempty"`
}

// smallDeltaBytes is the size of new values, in bytes, up to which a delta is made even if
// it covers most of the state.
const smallDeltaBytes = 4 << 10

// errMostlyChanged means that most of the state is new. The compressed full state is then
// about as small as a delta and decodes several times as fast.
var errMostlyChanged = eris.New("most of the state has changed")

// MakeDelta returns the delta between two states, each a compact JSON object. Array
// elements that are in both states are copied by index instead of being included. It
// returns an error if a state is not compact JSON or if most of the state is new.
func MakeDelta(from, to uint64, oldState, newState []byte) (Delta, error) {
	oldFields, err := Fields(oldState)
	if err != nil {
		return Delta{}, err
	}
	newFields, err := Fields(newState)
	if err != nil {
		return Delta{}, err
	}
	s := script{Digest: xxhash.Sum64(newState)}
	changedBytes := 0
	for _, f := range newFields {
		edit, err := diffField(oldFields, f)
		if err != nil {
			return Delta{}, err
		}
		changedBytes += edit.newBytes()
		s.Fields = append(s.Fields, edit)
	}
	if changedBytes > smallDeltaBytes && changedBytes > len(newState)/2 {
		return Delta{}, errMostlyChanged
	}
	encoded, err := json.Marshal(s)
	if err != nil {
		return Delta{}, eris.Wrap(err, "encode delta")
	}
	return Delta{From: from, To: to, Edits: Compress(encoded)}, nil
}

// Apply returns the state after the delta. It returns an error if the delta is damaged
// or was made from another state than before.
func (d Delta) Apply(oldState []byte) ([]byte, error) {
	encoded, err := decompress(d.Edits)
	if err != nil {
		return nil, err
	}
	var s script
	if err := json.Unmarshal(encoded, &s); err != nil {
		return nil, eris.Wrap(err, "decode delta")
	}
	oldFields, err := Fields(oldState)
	if err != nil {
		return nil, err
	}
	newState, err := s.apply(oldFields)
	if err != nil {
		return nil, err
	}
	if xxhash.Sum64(newState) != s.Digest {
		return nil, eris.Errorf("delta from %d to %d does not fit", d.From, d.To)
	}
	return newState, nil
}
