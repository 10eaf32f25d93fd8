package scenario

import (
	"strconv"
	"strings"

	"github.com/rotisserie/eris"
)

func init() {
	matters["crashes"] = expectCrashes
	matters["atmost"] = expectAtMost
	conditions["refused"] = awaitRefused
}

// expectCrashes: N: at most N upstreams have crashed, and one at least.
func expectCrashes(c *cluster, args []string) error {
	if len(args) != 1 {
		return errUsage
	}
	most, err := strconv.Atoi(args[0])
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
	if crashes < 1 || crashes > most {
		return eris.Errorf("%d crashes, not 1 to %d", crashes, most)
	}
	return nil
}

// expectAtMost: WHAT N: WHAT ran N times or fewer.
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
		return eris.Errorf("%d runs of %s, more than %d", n, args[0], most)
	}
	return nil
}

// awaitRefused: ENTRY ORG KEY MODEL TEXT...: the call, repeated, is refused as
// not run, and the caller is told when to come back.
func awaitRefused(c *cluster, args []string) error {
	if len(args) < 5 {
		return errUsage
	}
	o := order{model: args[3], text: strings.Join(args[4:], " ")}
	if err := c.target(&o, args[0], args[1], args[2]); err != nil {
		return err
	}
	if err := c.callers.begin(lastCall, o); err != nil {
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
