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
	a, a2, b := r.Begin("s", "a", start), r.Begin("s", "a", start), r.Begin("s", "b", start)
	r.Begin("other", "c", start.Add(time.Minute))
	at := start.Add(time.Second)
	is.True(r.Silence("s", time.Second, at).IsCommon())
	is.True(r.Silence("s", time.Second, at).IsTotal())
	is.True(!r.Silence("s", time.Second+1, at).IsCommon())
	a2.Note(at) // the latest event of any stream counts for an upstream
	a.Note(start)
	is.Equal(r.Silence("s", time.Second, at).Upstreams, []string{"b"})
	is.True(!r.Silence("s", time.Second, at).IsCommon())
	b.End()
	b.End()
	is.Equal(r.Silence("s", 0, at), Silence{Streaming: 1, Upstreams: []string{"a"}})
	is.True(!r.Silence("s", 0, at).IsTotal()) // a single upstream may be the one at fault
	is.True(!r.Silence("s", 0, at).IsCommon())
	is.True(Silence{Streaming: 3, Upstreams: []string{"a", "b"}}.IsCommon())
	is.True(!Silence{Streaming: 3, Upstreams: []string{"a", "b"}}.IsTotal())
	is.True(!Silence{Streaming: 4, Upstreams: []string{"a", "b"}}.IsCommon())
	a.End()
	a2.End()
	is.Equal(len(r.services), 1)
}
