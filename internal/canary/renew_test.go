package canary

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Fails if an order that its operator writes again loses its evidence or its verdict, or if a
// peer's record of the earlier revision counts for the new one.
func TestRenewedOrderKeepsItsVerdict(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	c := New(Settings{}, "n1", 1)
	o := Order{Service: "s", Target: "v2", Limit: time.Minute, Revision: 40}
	is.True(c.AddOrder(o, now))
	is.True(c.ApplyVerdict("s", 40, RolledBack, true))
	o.Revision = 1<<48 + 7 // of a later era
	is.True(c.Renew(o))
	is.True(!c.Renew(o)) // once
	is.Equal(c.Revision("s"), o.Revision)
	is.True(!c.Open("s"))
	is.Equal(len(c.Tick(now, View{})), 1) // the verdict has to be recorded again
	c.Merge(Tally{Service: "s", Revision: 40, Node: "n2", Born: 1, Seq: 1, Verdict: RolledBack, Written: true}, now)
	is.Equal(len(c.Tick(now, View{})), 1) // a record of the earlier revision may be lost
	c.Merge(Tally{Service: "s", Revision: o.Revision, Node: "n2", Born: 1, Seq: 2, Verdict: RolledBack, Written: true}, now)
	is.Equal(len(c.Tick(now, View{})), 0)
	other := o
	other.Target, other.Revision = "v3", o.Revision+1
	is.True(!c.Renew(other)) // another order
}
