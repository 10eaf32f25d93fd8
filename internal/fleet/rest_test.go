package fleet

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/hickorybank/hickorybank/internal/notice"
)

// TestRestHoldsUntilItsLatestEnd guards against an upstream that gets requests while it rests,
// since a later answer asked for less, or none.
func TestRestHoldsUntilItsLatestEnd(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	at := func(ms int) time.Time { return now.Add(time.Duration(ms) * time.Millisecond) }
	f := some(1)
	u := f.Get("u0")
	f.Answered(u, notice.Answer{Rest: 3 * time.Second}, at(0), at(0))
	f.Answered(u, notice.Answer{Rest: time.Second}, at(100), at(100))
	f.Answered(u, notice.Answer{}, at(200), at(200))
	want := AttemptSpec{Service: "s"}
	is.Equal(f.Choose(want, at(2900)), nil)
	until, ok := f.RoomAt(&want, at(500))
	is.True(ok)
	is.True(!until.Before(at(3000)))
	is.True(f.Choose(want, until) != nil)
	is.Equal(u.errorShare(at(3000)), 0.0) // it is no failure
}
