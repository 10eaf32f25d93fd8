package archive

import (
	"reflect"
	"testing"

	"github.com/matryer/is"
)

// A peer must decode from an update exactly what was encoded.
func TestUpdateEncodingRoundTrip(t *testing.T) {
	for _, u := range []Update{
		{},
		{To: 7, Full: []byte("whole")},
		{To: 1 << 60, Deltas: []Delta{{From: 1, To: 2, Edits: []byte("a")}, {From: 2, To: 1 << 60, Edits: []byte("bc")}}},
	} {
		is := is.New(t)
		got, err := DecodeUpdate(u.Encode())
		is.NoErr(err)
		is.Equal(got.To, u.To)
		is.Equal(string(got.Full), string(u.Full))
		is.Equal(got.Deltas, u.Deltas)
	}
}

// FuzzDecodeUpdate fails on a panic or excessive allocation for malformed input, such as
// a length greater than the data. What decodes must encode to an equal update.
func FuzzDecodeUpdate(f *testing.F) {
	u := Update{To: 3, Full: []byte("whole"), Deltas: []Delta{{From: 1, To: 3, Edits: []byte("edits")}}}
	f.Add(u.Encode())
	f.Add([]byte{1, 255, 255, 255, 255, 255, 255, 255, 255, 255, 1})
	f.Add([]byte{})
	f.Fuzz(func(t *testing.T, data []byte) {
		got, err := DecodeUpdate(data)
		if err != nil {
			return
		}
		again, err := DecodeUpdate(got.Encode())
		if err != nil || !reflect.DeepEqual(got, again) {
			t.Fatalf("%+v became %+v, %v", got, again, err)
		}
	})
}
