package archive

import (
	"bytes"
	"encoding/json"
	"fmt"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// randomState draws an object with arrays and other values.
func randomState(t *rapid.T) []byte {
	names := rapid.SliceOfNDistinct(rapid.StringMatching(`[a-c"<]{1,2}`), 0, 4, rapid.ID[string]).Draw(t, "names")
	raw := []byte("{")
	for i, name := range names {
		if i > 0 {
			raw = append(raw, ',')
		}
		encoded, _ := json.Marshal(name)
		raw = append(raw, encoded...)
		raw = append(raw, ':')
		raw = append(raw, randomValue(t)...)
	}
	return append(raw, '}')
}

func randomValue(t *rapid.T) []byte {
	var value any = rapid.String().Draw(t, "text")
	if rapid.Bool().Draw(t, "array") {
		value = rapid.SliceOfN(rapid.IntRange(0, 6), 0, 8).Draw(t, "elements")
	}
	encoded, _ := json.Marshal(value)
	return encoded
}

// Applying a delta must give the state that it was made for.
func TestDeltaAppliesBetweenArbitraryStates(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		before, after := randomState(t), randomState(t)
		d, err := MakeDelta(1, 2, before, after)
		if err != nil {
			t.Fatal(err)
		}
		got, err := d.Apply(before)
		if err != nil || string(got) != string(after) {
			t.Fatalf("from %s to %s: got %s, %v", before, after, got, err)
		}
	})
}

// A delta from a peer that started from another state must not be applied. Without the
// digest, the node would use a document that was never accepted.
func TestDeltaFromAnotherBaseIsRejected(t *testing.T) {
	is := is.New(t)
	d, err := MakeDelta(1, 2, []byte(`{"a":[1,2,3]}`), []byte(`{"a":[1,2,4]}`))
	is.NoErr(err)
	_, err = d.Apply([]byte(`{"a":[9,2,3]}`))
	is.True(err != nil)
	_, err = d.Apply([]byte(`{"a":[1]}`))
	is.True(err != nil)
	_, err = Delta{Edits: []byte("no")}.Apply([]byte(`{}`))
	is.True(err != nil)
}

func stateOf(revision uint64) []byte { return fmt.Appendf(nil, `{"a":[%d,7,8]}`, revision) }

// An update must bring a peer to the newest state, and contain the full state only if the
// retained deltas do not suffice.
func TestUpdateBringsPeerToNewestState(t *testing.T) {
	is := is.New(t)
	var a *Archive
	for revision := uint64(1); revision <= 2*maxDeltas; revision++ {
		a = a.Replace(revision, stateOf(revision))
	}
	newest := a.tag
	cases := []struct {
		name  string
		known uint64
		full  bool
		sent  int // deltas; 0 for the full state
	}{
		{"one change behind", newest - 1, false, 1},
		{"five changes behind", newest - 5, false, 5},
		{"as far behind as deltas are retained", newest - maxDeltas, false, maxDeltas},
		{"further behind than deltas are retained", newest - maxDeltas - 1, false, 0},
		{"no state", 0, false, 0},
		{"full state requested", newest - 1, true, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			u := a.Update(c.known, c.full)
			is.Equal(len(u.Deltas), c.sent)
			is.Equal(len(u.Full) > 0, c.sent == 0)
			peer := (*Archive)(nil)
			if c.known > 0 {
				peer = New(c.known, stateOf(c.known), nil)
			}
			peer, err := peer.Apply(*u)
			is.NoErr(err)
			is.Equal(peer.tag, newest)
			is.Equal(string(peer.raw), string(a.raw))
		})
	}
	is.True(a.Update(newest, false) == nil) // the peer is up to date
	_, err := New(3, stateOf(3), nil).Apply(*a.Update(newest-1, false))
	is.True(err != nil) // deltas with a gap
}

// If every element changes each time, the deltas are as large as the full state.
// Retaining them would take 64 times the document in memory, and they would take more
// time to read than the full state.
func TestLargeDeltasAreNotRetained(t *testing.T) {
	is := is.New(t)
	state := func(revision int) []byte {
		var b bytes.Buffer
		b.WriteString(`{"a":[`)
		for i := range 2000 {
			fmt.Fprintf(&b, `"element %d of %d",`, i, revision)
		}
		b.WriteString(`0]}`)
		return b.Bytes()
	}
	var a *Archive
	for revision := range 10 {
		a = a.Replace(uint64(revision+1), state(revision))
	}
	is.Equal(len(a.Deltas()), 0)
	is.True(len(a.Update(9, false).Full) > 0)
	for i := range 10 { // changes a quarter of the elements each time
		raw := bytes.ReplaceAll(a.Raw(), []byte(fmt.Sprintf("%d of", i)), []byte(fmt.Sprintf("%d now of", i)))
		a = a.Replace(uint64(i+11), raw)
	}
	is.True(totalDeltaBytes(a.Deltas()) <= max(len(a.Raw())/typicalCompressionRatio, minRetainedDeltaBytes))
}
