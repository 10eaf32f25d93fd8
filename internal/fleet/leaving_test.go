package fleet

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/hickorybank/hickorybank/internal/notice"
)

// An upstream that announced its shutdown gets no requests again, even if an older list,
// a peer or a later response does not mention the shutdown.
func TestLeavingIsFinalForAnIncarnation(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1000, 0)
		f := newTestFleet(2)
		f.ApplyResponse(f.Get("u0"), notice.Response{Leaving: true}, now, now)
		for range rapid.IntRange(1, 20).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 2000).Draw(t, "pause")) * time.Millisecond)
			switch rapid.IntRange(0, 4).Draw(t, "what") {
			case 0:
				f.Put(testRecord("u0"), now)
			case 1:
				f.Drop("u0")
				f.Put(testRecord("u0"), now)
			case 2:
				f.MarkUnlisted("u0")
			case 3:
				if u := f.Get("u0"); u != nil {
					f.ApplyResponse(u, notice.Response{}, now, now)
				}
			case 4:
				f.ApplyReport(notice.Report{Start: "u0@0", Origin: 9, Seq: int64(now.Unix())}, now)
			}
			f.SweepNotices(now)
			if u := f.Choose(AttemptSpec{Service: "s", Seed: rapid.Uint64().Draw(t, "seed")}, now); u == nil || u.ID != "u1" {
				t.Fatalf("got upstream %v, want u1: u0 is leaving", u)
			}
		}
		again := testRecord("u0")
		again.Born = 7
		f.Put(again, now)
		f.Get("u1").Draining = true
		if u := f.Choose(AttemptSpec{Service: "s"}, now); u == nil || u.ID != "u0" {
			t.Fatalf("got upstream %v, want the new incarnation of u0", u)
		}
	})
}

// Without the mark, nodes that restart together during an outage of the table would try
// upstreams of the snapshot that had announced their shutdown.
func TestSnapshotMarksLeavingUpstreams(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	f := newTestFleet(2)
	before := f.EffectiveHash()
	f.ApplyResponse(f.Get("u0"), notice.Response{Leaving: true}, now, now)
	is.True(f.EffectiveHash() != before) // the snapshot has to be written again
	is.True(f.EffectiveRecords(now)[0].Draining)
	is.True(!f.EffectiveRecords(now)[1].Draining)
	is.True(!f.Records(now)[0].Draining) // peers compare only what the table lists
}
