package client

import (
	"encoding/json"
	"testing"

	"github.com/matryer/is"

	"github.com/hickorybank/hickorybank/internal/upstream"
)

// FuzzPiece holds the short way of reading a piece against encoding/json: what
// it takes must be the same piece, and what it does not take is not its to
// judge.
func FuzzPiece(f *testing.F) {
	for _, s := range []string{
		`{"attempt":"a.1","seq":7,"text":"token "}`,
		`{"attempt":"a.1","seq":7,"text":"añ\u00e9\n"}`,
		`{"attempt":"a.1","seq":07,"text":"x"}`,
		`{"attempt":"a.1","seq":99999999999999999999,"text":"x"}`,
		`{"attempt":"a.1","seq":7,"text":"x","done":true}`,
		`{"attempt":"a.1","seq":7,"text":"x"}}`,
		"{\"attempt\":\"a\xff\",\"seq\":7,\"text\":\"x\ty\"}",
	} {
		f.Add([]byte(s))
	}
	f.Fuzz(func(t *testing.T, in []byte) {
		is := is.New(t)
		got, ok := new(pieces).common(in)
		if !ok {
			return
		}
		var want upstream.Chunk
		is.NoErr(json.Unmarshal(in, &want))
		is.Equal(got, want)
	})
}

// A stream of one attempt has a piece of another in it. Keeping the attempt's
// name from piece to piece must not hide that.
func TestEachPieceKeepsItsOwnAttempt(t *testing.T) {
	is := is.New(t)
	var p pieces
	for _, attempt := range []string{"a", "b", "a"} {
		c, ok := p.common([]byte(`{"attempt":"` + attempt + `","seq":1,"text":"x"}`))
		is.True(ok)
		is.Equal(c.Attempt, attempt)
	}
}
