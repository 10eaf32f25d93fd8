package fleet

import (
	"math"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Fails if records with numbers at the ends of their types, as a peer of another release may pass
// on, end the node or take all attempts of their service.
func TestOddRecordsLeaveOtherUpstreamsInUse(t *testing.T) {
	for _, slots := range []int{math.MaxInt, math.MaxUint16 + 1, 0, -1, math.MinInt} {
		for _, cold := range []time.Duration{math.MaxInt64, math.MinInt64, 0} {
			is := is.New(t)
			now := time.Unix(1000, 0)
			f := newTestFleet(6)
			f.SetWarmUp("s", WarmUp{Duration: math.MaxInt64, Rate: 1, MaxPerSecond: 1})
			f.SetSenders("n", []string{"n", "m"})
			odd := Record{ID: "odd", Born: math.MaxInt64, Service: "s", Addr: "odd:1", Version: "v1", Slots: slots, Cold: cold}
			f.Put(odd, now)
			others := 0
			for i := range 2000 {
				spec := AttemptSpec{Service: "s", Tokens: 100, Weight: 1, TokenCapacity: 1000, PrefixBlocks: []PrefixBlock{{ID: "a", Tokens: 50}}, Seed: mixBits(uint64(i))}
				u := f.Choose(spec, now)
				is.True(u != nil)
				w := f.Begin(u, &spec, now)
				if u.ID != "odd" {
					others++
				}
				now = now.Add(time.Millisecond)
				f.ReportLoad(u, i, i, now)
				f.ApplyFlight(f.Flight(now), Flight{}, now)
				f.ServiceLoad("s", "v1", now)
				switch i % 4 {
				case 0:
					f.End(u, w, Moved, now.Add(time.Second))
				case 1:
					f.ResponseStarted(u, w, now)
					f.End(u, w, Served, now)
				}
			}
			is.True(others >= 1000)
			list, ok := func() ([]Record, bool) { c := NewRecordColumns(f.Records(now)); return c.Records() }()
			is.True(ok)
			is.Equal(len(list), 7)
		}
	}
}
