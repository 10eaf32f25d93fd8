package canary

import (
	"bytes"
	"encoding/gob"
	"testing"

	"github.com/matryer/is"
)

// Fails if counts change on their way to a peer, or if empty ones take space.
func TestCountsArePackedForPeers(t *testing.T) {
	is := is.New(t)
	sent := Tally{Service: "s", Routes: []RouteCount{{Route: "r", New: 3}}}
	sent.Routes[0].Delays[Pace] = DelayCount{New: DelayCounts{1, 0, 300}, Base: DelayCounts{5: 2}, Unfinished: DelayCounts{3: 1}}
	sent.Classes.count("u1", Wait, 5)
	var wire bytes.Buffer
	is.NoErr(gob.NewEncoder(&wire).Encode(sent))
	var got Tally
	is.NoErr(gob.NewDecoder(&wire).Decode(&got))
	is.Equal(got, sent)
	empty, err := ClassCounts{}.GobEncode()
	is.NoErr(err)
	is.Equal(len(empty), 0)
}

// Fails if a peer's malformed counts are accepted.
func TestMalformedCountsAreRefused(t *testing.T) {
	is := is.New(t)
	for _, b := range [][]byte{{18, 2}, {0}, {0, 1}, {0x80}} { // index too large, no count, a count of -1, half an index
		is.True(new(DelayCount).GobDecode(b) != nil)
	}
}
