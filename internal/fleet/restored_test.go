package fleet

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Fails if an older copy of the table makes an upstream that leaves take new work again.
func TestOlderCopyDoesNotUndoLeaving(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	f := newTestFleet(2)
	leaving := testRecord("u0")
	leaving.Draining = true
	f.Put(leaving, now)
	f.NoteRestore(now)
	for range 3 {
		f.Put(testRecord("u0"), now) // the copy lists it as ready
		is.Equal(f.Choose(AttemptSpec{Service: "s", Tried: []string{"u1"}}, now), nil)
		f.Drop("u0") // another copy lacks it
	}
	again := testRecord("u0")
	again.Born = 7
	f.Put(again, now)
	is.True(f.Choose(AttemptSpec{Service: "s", Tried: []string{"u1"}}, now) != nil) // its next start is another upstream
}

// Fails if upstreams that have ended get new work because an older copy of the table lists them,
// or if an entry that lapsed without a restore keeps its upstream from work.
func TestOlderCopyDoesNotRestoreEndedUpstreams(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	f := newTestFleet(1)
	usable := func() bool { return f.Choose(AttemptSpec{Service: "s"}, now) != nil }
	f.Drop("u0")
	f.Put(testRecord("u0"), now)
	is.True(usable()) // its entry had lapsed
	f.Drop("u0")
	f.NoteRestore(now)
	f.Put(testRecord("u0"), now)
	is.True(!usable())
	now = now.Add(goneFor)
	is.True(usable()) // its entry would have lapsed by now
}
