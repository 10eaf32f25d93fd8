package scenario

import (
	"encoding/json"
	"net/http"
	"strconv"

	"github.com/rotisserie/eris"
)

// run is one execution at a stand-in upstream.
type run struct {
	upstream string
	// Key is the idempotency key of a service call.
	Key  string `json:"key"`
	Path string `json:"path"`
	// Digest is that of a chat request's text.
	Digest    string `json:"digest"`
	Attempt   string `json:"attempt"`
	Version   string `json:"version"`
	Completed bool   `json:"completed"`
}

// runs asks every running stand-in upstream what it has run.
func (c *cluster) runs() ([]run, error) {
	var all []run
	for _, p := range c.all() {
		if p.id == platformID || p.addrs.Faults == "" || !p.running() {
			continue
		}
		runs, err := fetchRuns(p.addrs.Faults)
		if err != nil {
			return nil, eris.Wrap(err, p.id)
		}
		for _, r := range runs {
			r.upstream = p.id
			all = append(all, r)
		}
	}
	return all, nil
}

func fetchRuns(addr string) ([]run, error) {
	resp, err := http.Get("http://" + addr + "/runs")
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return nil, eris.Errorf("status %s", resp.Status)
	}
	var runs []run
	return runs, json.NewDecoder(resp.Body).Decode(&runs)
}

// expectRuns: WHAT N: WHAT is the digest of a text, or a service call's key or
// path.
func expectRuns(c *cluster, args []string) error {
	if len(args) != 2 {
		return errUsage
	}
	want, err := strconv.Atoi(args[1])
	if err != nil {
		return err
	}
	runs, err := c.runs()
	if err != nil {
		return err
	}
	n := 0
	for _, r := range runs {
		if r.Key == args[0] || r.Path == args[0] || r.Digest == args[0] {
			n++
		}
	}
	if n != want {
		return eris.Errorf("%d runs of %s, not %d", n, args[0], want)
	}
	return nil
}
