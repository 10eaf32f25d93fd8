package fleet

import (
	"testing"
	"time"

	"github.com/hickorybank/hickorybank/internal/notice"
)

// TestWhichStatementWins guards against a weaker statement on an upstream that lets requests
// through which a stronger one forbids, or hides when it may be used again. Each row is the
// last upstream of its service: that is no exception.
func TestWhichStatementWins(t *testing.T) {
	now := time.Unix(1000, 0)
	const rest = 3 * time.Second
	evacuated := func(f *Fleet, _ *Upstream) { f.SetEvacuated("d0", true, now) }
	leaving := func(f *Fleet, u *Upstream) { f.Answered(u, notice.Answer{Leaving: true}, now, now) }
	draining := func(f *Fleet, u *Upstream) {
		r := u.Record
		r.Draining = true
		f.Put(r, now)
	}
	replaced := func(f *Fleet, u *Upstream) { f.Misdirected(u) }
	ejected := func(_ *Fleet, u *Upstream) { u.ejected = now.Add(time.Second) }
	resting := func(f *Fleet, u *Upstream) { f.Answered(u, notice.Answer{Rest: rest}, now, now) }
	limited := func(f *Fleet, u *Upstream) {
		f.Answered(u, notice.Answer{Limit: notice.Limit{Named: true, PerSecond: 0.5}}, now, now)
	}
	spent := func(f *Fleet, u *Upstream) {
		limited(f, u)
		f.Begin(u, &AttemptSpec{Service: "s"}, now)
	}
	cold := func(f *Fleet, u *Upstream) {
		f.SetWarmUp("s", WarmUp{Time: 10 * time.Second, Rate: 4, Most: 11})
		u.extendWarmUp(now.Add(10 * time.Second))
	}
	type state = func(f *Fleet, u *Upstream)
	for _, c := range []struct {
		name   string
		states []state
		chosen bool
		// room is how long until there is room; 0 where that is not known.
		room time.Duration
	}{
		{name: "nothing said", chosen: true},
		{name: "evacuated and resting", states: []state{evacuated, resting}},
		{name: "evacuated and limited", states: []state{evacuated, spent}},
		{name: "leaving and resting", states: []state{leaving, resting}},
		{name: "leaving and limited", states: []state{leaving, limited}},
		{name: "draining and resting", states: []state{draining, resting}},
		{name: "replaced and resting", states: []state{replaced, resting}},
		{name: "ejected and resting", states: []state{ejected, resting}},
		{name: "resting", states: []state{resting}, room: rest},
		{name: "resting and limited", states: []state{spent, resting}, room: rest},
		{name: "limited with room", states: []state{limited}, chosen: true},
		{name: "limited without room", states: []state{spent}, room: 2 * time.Second},
		{name: "warming up and limited: the lesser holds", states: []state{cold, spent}, room: 2 * time.Second},
		{name: "warming up with room and limited with room", states: []state{cold, limited}, chosen: true},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := some(1)
			f.SetSenders("n", []string{"n"})
			u := f.Get("u0")
			for _, apply := range c.states {
				apply(f, u)
			}
			want := AttemptSpec{Service: "s"}
			if got := f.Choose(want, now) != nil; got != c.chosen {
				t.Errorf("chosen: %t", got)
			}
			at, known := f.RoomAt(&want, now)
			if c.chosen {
				return
			}
			if known != (c.room > 0) || known && at.Sub(now) < c.room || known && at.Sub(now) > c.room+c.room/4 {
				t.Errorf("room after %s, known: %t; want %s", at.Sub(now), known, c.room)
			}
		})
	}
}
