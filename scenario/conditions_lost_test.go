package scenario

import (
	"strconv"
	"strings"

	"github.com/rotisserie/eris"
)

func init() {
	expectations["crashes"] = expectCrashes
	expectations["atmost"] = expectAtMost
	conditions["refused"] = awaitRefused
}

// expectCrashes: N: the upstreams crashed between 1 and N times in total.
func expectCrashes(c *cluster, args []string) error {
	if len(args) != 1 {
		return errUsage
	}
	maximum, err := strconv.Atoi(args[0])
	if err != nil {
		return err
	}
	crashes := 0
	for _, p := range c.upstreams() {
		counts, err := fetchCounts(p)
		if err != nil {
			return eris.Wrap(err, p.id)
		}
		crashes += counts.Crashes
	}
	if crashes < 1 || crashes > maximum {
		return eris.Errorf("%d crashes, want 1 to %d", crashes, maximum)
	}
	return nil
}

// expectAtMost: WHAT N: there were at most N runs of WHAT.
func expectAtMost(c *cluster, args []string) error {
	if len(args) != 2 {
		return errUsage
	}
	most, err := strconv.Atoi(args[1])
	if err != nil {
		return err
	}
	runs, err := c.runs()
	if err != nil {
		return err
	}
	if n := countRuns(runs, args[0]); n > most {
		return eris.Errorf("%d runs of %s, want at most %d", n, args[0], most)
	}
	return nil
}

// awaitRefused: ENTRY ORG KEY MODEL TEXT...: a repetition of the call is refused as not run,
// with a Retry-After header.
func awaitRefused(c *cluster, args []string) error {
	if len(args) < 5 {
		return errUsage
	}
	o := call{model: args[3], text: strings.Join(args[4:], " ")}
	if err := c.target(&o, args[0], args[1], args[2]); err != nil {
		return err
	}
	if err := c.callers.start(lastCall, o); err != nil {
		return err
	}
	r, err := c.callers.join(lastCall)
	if err != nil {
		return err
	}
	if r.outcome != notRun || r.retry == "" {
		return eris.New(r.String())
	}
	return nil
}
