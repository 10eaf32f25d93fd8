package canary

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Fails if the only version with upstreams serves only its trial's share of the requests, or is rolled
// back because the trial had nothing to compare it with; or if it is completed although its answers are
// failures or another version was there.
func TestOnlyVersionWithUpstreamsIsCompleted(t *testing.T) {
	for _, test := range []struct {
		name   string
		listed []string
		fails  bool
		want   Verdict
	}{
		{"alone", []string{newVersion}, false, Completed},
		{"alone and failing", []string{newVersion}, true, RolledBack},
		{"beside the old one", []string{newVersion, oldVersion}, false, RolledBack},
		{"not listed", nil, false, RolledBack},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			start := time.Unix(1000, 0)
			c := New(testSettings, "n1", 1)
			is.True(c.AddOrder(Order{Service: serviceName, Target: newVersion, Limit: limit, Revision: 1}, start))
			view := View{Complete: true, Count: func(string, string) (int, int) { return 3, 3 }, Versions: func(string) []string { return test.listed }}
			for now := start.Add(trialDelay); now.Before(start.Add(limit + 5*time.Second)); now = now.Add(250 * time.Millisecond) {
				a := c.Begin(Attempt{Service: serviceName, Version: newVersion, Upstream: "u", Route: "r"}, true, now)
				c.Start(a, now.Add(50*time.Millisecond))
				if test.fails {
					c.CountFailure(a)
				} else {
					c.CountPace(a, 10*time.Millisecond)
				}
				c.End(a, false, now.Add(100*time.Millisecond))
				c.Tick(now, view)
				if c.Open(serviceName) && now.Sub(start) > trialDelay+onlyVersionTime {
					serves := len(c.Preview(serviceName, Caller{Hash: shareScale - 1}, now).Excluded) == 0
					is.Equal(serves, len(test.listed) == 1)
				}
			}
			is.Equal(c.Outcome(serviceName).Verdict, test.want)
		})
	}
}
