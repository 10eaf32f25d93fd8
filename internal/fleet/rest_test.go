package fleet

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/hickorybank/hickorybank/internal/notice"
)

// An upstream gets no requests during its back-off, even if a later response requested a
// shorter one, or none.
func TestBackoffLastsUntilItsLatestEnd(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	at := func(ms int) time.Time { return now.Add(time.Duration(ms) * time.Millisecond) }
	f := newTestFleet(1)
	u := f.Get("u0")
	f.ApplyResponse(u, notice.Response{Backoff: 3 * time.Second}, at(0), at(0))
	f.ApplyResponse(u, notice.Response{Backoff: time.Second}, at(100), at(100))
	f.ApplyResponse(u, notice.Response{}, at(200), at(200))
	spec := AttemptSpec{Service: "s"}
	is.Equal(f.Choose(spec, at(2900)), nil)
	until, ok := f.NextAvailable(&spec, at(500))
	is.True(ok)
	is.True(!until.Before(at(3000)))
	is.True(f.Choose(spec, until) != nil)
	is.Equal(u.errorShare(at(3000)), 0.0) // a back-off does not count as a failure
}
