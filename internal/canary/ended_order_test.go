package canary

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/hickorybank/hickorybank/internal/revision"
)

// Fails if a version that was completed is refused later because a node that was cut off had its own
// verdict on it.
func TestVerdictOfACutOffNodeDoesNotOutlastItsOrder(t *testing.T) {
	now := time.Unix(1000, 0)
	order := func(target string, at revision.Revision) Order {
		return Order{Service: "s", Target: target, Limit: time.Second, Revision: at}
	}
	type verdict struct {
		Verdict
		written bool
	}
	tests := []struct {
		name          string
		cutOff, other verdict
		// reordered is set if the version is ordered once more before, and superseded without a verdict.
		reordered bool
		want      []string
	}{
		{"rolled back by the cut-off node alone", verdict{RolledBack, false}, verdict{Completed, true}, false, []string{"v1"}},
		{"rolled back and recorded", verdict{Open, false}, verdict{RolledBack, true}, false, []string{"v1", "v2"}},
		{"completed by the cut-off node alone", verdict{Completed, false}, verdict{RolledBack, true}, false, []string{"v1", "v2"}},
		{"no verdict was recorded", verdict{Completed, false}, verdict{RolledBack, false}, false, []string{"v1", "v2"}},
		{"ordered again", verdict{RolledBack, false}, verdict{RolledBack, true}, true, []string{"v1"}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			var nodes []*Canary
			for _, v := range []verdict{test.cutOff, test.other} {
				c := New(Settings{}, "n", 1)
				is.True(c.AddOrder(order("v2", 1), now))
				c.ApplyVerdict("s", 1, v.Verdict, v.written)
				if test.reordered {
					is.True(c.AddOrder(order("v2", 2), now))
				}
				is.True(c.AddOrder(order("v1", 3), now))
				c.ApplyVerdict("s", 3, RolledBack, true)
				nodes = append(nodes, c)
			}
			first, second := nodes[0].Outcome("s"), nodes[1].Outcome("s")
			nodes[0].ApplyOutcome("s", 3, second)
			nodes[1].ApplyOutcome("s", 3, first)
			for _, c := range nodes {
				is.Equal(c.Preview("s", Caller{}, now.Add(time.Minute)), Rule{Excluded: test.want})
			}
		})
	}
}

// Fails if ended orders take memory and messages without bound.
func TestEndedOrdersAreBounded(t *testing.T) {
	is := is.New(t)
	c := New(Settings{}, "n", 1)
	for i := range revision.Revision(40) {
		is.True(c.AddOrder(Order{Service: "s", Target: string('a' + rune(i)), Limit: time.Second, Revision: i + 1}, time.Unix(1000, 0)))
	}
	is.Equal(len(c.Outcome("s").Ended), maxEnded)
	is.Equal(c.Outcome("s").Ended[maxEnded-1].Revision, revision.Revision(39))
}
