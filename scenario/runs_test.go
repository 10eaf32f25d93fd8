package scenario

import (
	"cmp"
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/rotisserie/eris"

	"github.com/hickorybank/hickorybank/internal/standin/engine"
)

// run is one execution that a stand-in upstream has started.
type run struct {
	upstream string
	// Key is the organisation and the idempotency key of a service call, joined by a dot.
	Key  string `json:"key"`
	Path string `json:"path"`
	// Digest is the digest of the text of a chat request.
	Digest  string `json:"digest"`
	Attempt string `json:"attempt"`
	Version string `json:"version"`
	State   string `json:"state"`
}

// runPage is the answer of /runs at a fault port.
type runPage struct {
	Runs []run `json:"runs"`
}

// runsTimeout limits one request to a fault port.
const runsTimeout = 20 * time.Second

var runsClient = &http.Client{Timeout: runsTimeout}

// runs returns the runs of all stand-in upstreams, including those that the scenario has
// killed.
func (c *cluster) runs() ([]run, error) {
	c.mu.Lock()
	all := append([]run(nil), c.savedRuns...)
	c.mu.Unlock()
	for _, p := range c.upstreams() {
		runs, err := fetchRuns(p)
		if err != nil {
			return nil, eris.Wrap(err, p.id)
		}
		all = append(all, runs...)
	}
	return all, nil
}

// saveRuns saves the runs of an upstream before it is killed, because they exist only in its
// memory. It closes the upstream's port first, so that no run starts unrecorded.
func (c *cluster) saveRuns(p *process) error {
	if !p.upstream() || !p.running() || c.isFrozen(p.id) {
		return nil
	}
	if err := c.fault(p.id, `{"down":true}`); err != nil {
		return err
	}
	runs, err := fetchRuns(p)
	if err != nil {
		return err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.savedRuns = append(c.savedRuns, runs...)
	return nil
}

func fetchRuns(p *process) ([]run, error) {
	var page runPage
	if err := readJSON("http://"+p.addrs.Faults+"/runs", &page); err != nil {
		return nil, err
	}
	for i := range page.Runs {
		page.Runs[i].upstream = p.id
	}
	return page.Runs, nil
}

// matches reports whether what is the run's chat text, key, path, version or upstream ID.
func (r run) matches(what string) bool {
	return r.Key == what || r.Path == what || r.Digest == engine.Digest(what) || r.Version == what || r.upstream == what
}

func countRuns(runs []run, what string) int {
	n := 0
	for _, r := range runs {
		if r.matches(what) {
			n++
		}
	}
	return n
}

// expectRuns: WHAT N: there were N runs that match WHAT, see [run.matches].
func expectRuns(c *cluster, args []string) error {
	if len(args) != 2 {
		return errUsage
	}
	return c.compareRuns(args[0], args[1], 0)
}

// lastRuns returns the last few runs that match WHAT. Attempt IDs sort by the arrival time of
// their request.
func lastRuns(runs []run, what string) []run {
	const maxRuns = 8
	var of []run
	for _, r := range runs {
		if r.matches(what) {
			of = append(of, r)
		}
	}
	slices.SortStableFunc(of, func(a, b run) int { return cmp.Compare(a.Attempt, b.Attempt) })
	return of[max(0, len(of)-maxRuns):]
}

// compareRuns compares the number of runs since before with a number, or with "some" for at
// least one.
func (c *cluster) compareRuns(what, want string, before int) error {
	runs, err := c.runs()
	if err != nil {
		return err
	}
	n := countRuns(runs, what) - before
	if want == "some" && n > 0 || want == strconv.Itoa(n) {
		return nil
	}
	return eris.Errorf("%d runs of %s, want %s; the last are %+v", n, what, want, lastRuns(runs, what))
}
