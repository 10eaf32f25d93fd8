package scenario

import (
	"encoding/json"
	"net/http"
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
	for _, p := range c.all() {
		if p.id == platformID || p.addrs.Faults == "" || !p.running() {
			continue
		}
		n, err := fetchCrashes(p)
		if err != nil {
			return eris.Wrap(err, p.id)
		}
		crashes += n
	}
	if crashes < 1 || crashes > most {
		return eris.Errorf("%d crashes, not 1 to %d", crashes, most)
	}
	return nil
}

func fetchCrashes(p *process) (int, error) {
	resp, err := runsClient.Get("http://" + p.addrs.Faults + "/counts")
	if err != nil {
		return 0, err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return 0, eris.Errorf("status %s", resp.Status)
	}
	var counts struct {
		Crashes int `json:"crashes"`
	}
	return counts.Crashes, json.NewDecoder(resp.Body).Decode(&counts)
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
