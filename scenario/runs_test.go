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

// run is one execution that a stand-in upstream has begun.
type run struct {
	upstream string
	// Key is the idempotency key of a service call, after its organisation.
	Key  string `json:"key"`
	Path string `json:"path"`
	// Digest is that of a chat request's text.
	Digest  string `json:"digest"`
	Attempt string `json:"attempt"`
	Version string `json:"version"`
	State   string `json:"state"`
}

// runPage is how a fault port lists runs.
type runPage struct {
	Runs []run `json:"runs"`
}

// runsLimit bounds the reading of a fault port.
const runsLimit = 20 * time.Second

var runsClient = &http.Client{Timeout: runsLimit}

// runs returns what every stand-in upstream has run, also those that were
// killed by the scenario since.
func (c *cluster) runs() ([]run, error) {
	c.mu.Lock()
	all := append([]run(nil), c.pastRuns...)
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

// keepRuns saves the runs of an upstream that is about to be killed: they are
// the scenario's evidence and live in the process. Its port is closed first,
// so that no run begins unseen.
func (c *cluster) keepRuns(p *process) error {
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
	c.pastRuns = append(c.pastRuns, runs...)
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

// of says whether the run is of a text, a service call's key or path, a
// version, or an upstream.
func (r run) of(what string) bool {
	return r.Key == what || r.Path == what || r.Digest == engine.Digest(what) || r.Version == what || r.upstream == what
}

func countRuns(runs []run, what string) int {
	n := 0
	for _, r := range runs {
		if r.of(what) {
			n++
		}
	}
	return n
}

// expectRuns: WHAT N: there were N runs of WHAT, as [run.of] reads it.
func expectRuns(c *cluster, args []string) error {
	if len(args) != 2 {
		return errUsage
	}
	return c.compareRuns(args[0], args[1], 0)
}

// lastRuns are the last few runs of WHAT; an attempt's name begins with the
// time in which its request arrived.
func lastRuns(runs []run, what string) []run {
	const most = 8
	var of []run
	for _, r := range runs {
		if r.of(what) {
			of = append(of, r)
		}
	}
	slices.SortStableFunc(of, func(a, b run) int { return cmp.Compare(a.Attempt, b.Attempt) })
	return of[max(0, len(of)-most):]
}

// compareRuns compares with a number, or with "some" for at least one.
func (c *cluster) compareRuns(what, want string, before int) error {
	runs, err := c.runs()
	if err != nil {
		return err
	}
	n := countRuns(runs, what) - before
	if want == "some" && n > 0 || want == strconv.Itoa(n) {
		return nil
	}
	return eris.Errorf("%d runs of %s, not %s; the last are %+v", n, what, want, lastRuns(runs, what))
}
