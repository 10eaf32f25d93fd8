package fleet

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// An upstream crashes and is back under its ID before its entry has lapsed, so
// that the table never shows it gone. A node that went on believing what it knew
// would send prompts there for parts that are no longer cached, count attempts
// that ended with the old start, and leave a sound upstream alone for the old
// one's failures.
func TestRestartUnderTheSameIDIsAnotherUpstream(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	f := New(Settings{Domain: "d0"})
	first := record("u0")
	first.Born = 1
	f.Put(first, now)
	w := AttemptSpec{Service: "s", Model: "m", Weight: 1, Tokens: 1000, Parts: []Part{{ID: "p", Tokens: 900}}}
	old := f.Get("u0")
	running := f.Begin(old, &w, now)
	f.End(old, f.Begin(old, &w, now), Unreached, now)
	f.Report(old, 7, 5, now)
	f.Misdirected(old)
	is.True(f.Choose(w, now) == nil)
	listed := f.Hash()
	told := f.Flight()

	again := first
	again.Born = 2
	is.True(f.Put(again, now))
	u := f.Get("u0")
	is.True(u != old)
	is.True(f.Choose(w, now) == u)                  // not left alone, not replaced
	is.Equal(u.cached(&w, now), 0)                  // nothing is cached
	is.Equal(u.inFlight, 0)                         // nothing runs
	is.Equal(u.load(now), 0.0)                      // no word on its load
	is.Equal(len(f.Records(time.Unix(1000, 0))), 1) // one upstream
	is.True(f.Hash() != listed)                     // nodes that know the old start differ
	is.Equal(len(f.Versions("s")), 1)

	f.Started(old, running, now)
	f.Report(old, 8, 8, now)
	f.End(old, running, Unreached, now)
	f.Misdirected(old)
	f.TakeFlight(told, Flight{}, now)
	is.True(f.Choose(w, now) == u) // late news of the old start changes nothing
	is.Equal(u.load(now), 0.0)
	is.Equal(u.inFlight, 0)

	f.Report(u, 2, 0, now)
	is.True(!f.Put(again, now)) // the same entry again is no news
	is.Equal(f.Get("u0"), u)
}

// An entry of a service that nobody uses names the address of an upstream that
// serves. That upstream goes on serving.
func TestEntryOfAnotherServiceReplacesNobody(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	f := some(1)
	stranger := record("x")
	stranger.Service, stranger.Addr = "unknown", f.Get("u0").Addr
	f.Put(stranger, now)
	is.Equal(f.Choose(AttemptSpec{Service: "s"}, now).ID, "u0")
}
