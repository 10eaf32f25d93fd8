package canary

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Regression: tallies flooded a fleet of hundreds. Each reader sent the counts of all
// nodes to every other reader, for the rest of the day after the verdict was recorded. A
// reader passes on those of its own group, and none once the verdict is recorded.
func TestTalliesArePassedOnOnlyWithinTheGroup(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	c := New(Settings{ShareBound: 0.1}, "reader", 1)
	c.AddOrder(Order{Service: "s", Target: "v2", Limit: time.Minute, Revision: 7}, now)
	for _, node := range []string{"near", "far"} {
		c.Merge(Tally{Service: "s", Revision: 7, Node: node, Born: 1, Seq: 1}, now)
	}
	known := func(of func(string) bool) (nodes []string) {
		for _, t := range c.TalliesToRelay(now, of) {
			nodes = append(nodes, t.Node)
		}
		return nodes
	}
	is.Equal(len(known(func(string) bool { return true })), 3)
	is.Equal(known(func(node string) bool { return node == "near" }), []string{"reader", "near"})
	c.ApplyVerdict("s", 7, RolledBack, false)
	is.Equal(len(known(func(string) bool { return true })), 3) // not recorded yet
	c.ApplyVerdict("s", 7, RolledBack, true)
	is.Equal(known(func(string) bool { return true }), []string{"reader"})
	is.Equal(c.TalliesToRelay(now, nil)[0].Verdict, RolledBack)
}
