package gateway

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Fails if a slow call moves the estimate of the table's clock: crashes of one loss would be recorded
// as moments apart.
func TestTableClockTrustsTheQuickestCall(t *testing.T) {
	origin := time.Unix(5_000, 0)
	for _, c := range []struct {
		name string
		// each call takes some ms, and the table reads its clock at the end of it if late is set.
		calls []struct {
			at, takes time.Duration
			late      bool
		}
		// shift is how long this node's clock is stopped before the last call.
		shift, want time.Duration
	}{
		{"quick, then slow", []struct {
			at, takes time.Duration
			late      bool
		}{{0, 4 * time.Millisecond, false}, {time.Second, 600 * time.Millisecond, true}}, 0, 2 * time.Millisecond},
		{"slow, then quick", []struct {
			at, takes time.Duration
			late      bool
		}{{0, 600 * time.Millisecond, true}, {time.Second, 4 * time.Millisecond, false}}, 0, 2 * time.Millisecond},
		{"clock stood still", []struct {
			at, takes time.Duration
			late      bool
		}{{0, 4 * time.Millisecond, false}, {time.Second, 8 * time.Millisecond, false}}, 3 * time.Second, 4 * time.Millisecond},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			var clock tableClock
			for i, call := range c.calls {
				began := origin.Add(call.at)
				shown := call.at
				if call.late {
					shown += call.takes
				}
				if i == len(c.calls)-1 {
					shown += c.shift
				}
				clock.observe(shown, began, began.Add(call.takes))
			}
			off := clock.origin.Add(c.shift).Sub(origin).Abs()
			t.Logf("off by %v", off)
			is.True(off <= c.want)
		})
	}
}
