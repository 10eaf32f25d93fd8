package canary

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Fails if a decision without evidence against the version does not tell what it rests on.
func TestDecisionTellsItsEvidence(t *testing.T) {
	is := is.New(t)
	start := time.Unix(1000, 0)
	c := New(testSettings, "n1", 1)
	is.True(c.AddOrder(Order{Service: serviceName, Target: newVersion, Limit: limit, Revision: 1}, start))
	addQuickAnswers(c, 80, start)
	r := c.rollouts[serviceName]
	r.shiftedAt = start.Add(15 * time.Second)
	d := c.Tick(r.deadline(testSettings), View{Complete: true, Count: func(string, string) (int, int) { return 1, 2 }})
	is.Equal(len(d), 1)
	is.Equal(d[0].Verdict, Completed)
	is.Equal(d[0].Evidence, "")
	is.Equal([]int64{d[0].Counts.New, d[0].Counts.Base}, []int64{40, 40})
	is.True(d[0].AsQuick >= quickThreshold)
}
