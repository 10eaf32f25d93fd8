package fleet

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/hickorybank/hickorybank/internal/notice"
)

// TestRoomIsForeseenOnlyWhereItIsKnown guards against requests that wait, or are refused, for
// a moment at which no upstream is sure to have room, or one has it before.
func TestRoomIsForeseenOnlyWhereItIsKnown(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	f := some(2)
	f.SetSenders("n", []string{"n"})
	want := AttemptSpec{Service: "s"}
	for _, id := range []string{"u0", "u1"} {
		u := f.Get(id)
		f.Answered(u, notice.Answer{Limit: notice.Limit{Named: true, PerSecond: 2}}, now, now)
		f.Begin(u, &want, now)
	}
	is.Equal(f.Choose(want, now), nil)
	at, ok := f.RoomAt(&want, now)
	is.True(ok)
	is.Equal(at, now.Add(500*time.Millisecond))
	is.True(f.Choose(want, at) != nil)
	f.Get("u1").ejected = now.Add(time.Second)
	_, ok = f.RoomAt(&want, now)
	is.True(!ok) // it may be back at any moment
	f.Drop("u1")
	f.Get("u0").Draining = true
	_, ok = f.RoomAt(&want, now)
	is.True(!ok) // there is none
}
