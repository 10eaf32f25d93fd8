package client

import (
	"encoding/json"
	"testing"

	"github.com/matryer/is"

	"github.com/hickorybank/hickorybank/internal/upstream"
)

// FuzzParseFast compares the fast parser with encoding/json. Input that the fast parser
// accepts must give the same chunk; it may reject any input.
func FuzzParseFast(f *testing.F) {
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
		got, ok := new(chunkParser).parseFast(in)
		if !ok {
			return
		}
		var want upstream.Chunk
		is.NoErr(json.Unmarshal(in, &want))
		is.Equal(got, want)
	})
}

// The parser must report the attempt of each chunk. Reusing the string of the previous
// chunk's attempt could hide a chunk of another attempt in a stream.
func TestParserReturnsAttemptOfEachChunk(t *testing.T) {
	is := is.New(t)
	var p chunkParser
	for _, attempt := range []string{"a", "b", "a"} {
		c, ok := p.parseFast([]byte(`{"attempt":"` + attempt + `","seq":1,"text":"x"}`))
		is.True(ok)
		is.Equal(c.Attempt, attempt)
	}
}
