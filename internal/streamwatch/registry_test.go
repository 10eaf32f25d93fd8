package streamwatch

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Fails if one upstream that hangs counts as a common silence, or a silence of most does not.
func TestSilenceIsCommonWhenMostUpstreamsAreSilent(t *testing.T) {
	is := is.New(t)
	r, start := New(), time.Unix(1000, 0)
	a, a2, b, c := r.Begin("s", "a", start), r.Begin("s", "a", start), r.Begin("s", "b", start), r.Begin("s", "c", start)
	r.Begin("other", "d", start.Add(time.Minute))
	at := start.Add(time.Second)
	is.True(r.Silence("s", time.Second, at).IsCommon())
	is.True(!r.Silence("s", time.Second+1, at).IsCommon())
	a2.Note(at) // the latest event of any stream counts for an upstream
	a.Note(start)
	is.Equal(len(r.Silence("s", time.Second, at).Upstreams), 2)
	is.True(!r.Silence("s", time.Second, at).IsCommon()) // two may be the ones at fault
	b.End()
	b.End()
	c.End()
	is.Equal(r.Silence("s", 0, at), Silence{Streaming: 1, Upstreams: []string{"a"}})
	is.True(Silence{Streaming: 5, Upstreams: []string{"a", "b", "c"}}.IsCommon())
	is.True(!Silence{Streaming: 6, Upstreams: []string{"a", "b", "c"}}.IsCommon())
	a.End()
	a2.End()
	is.Equal(len(r.services), 1)
}
