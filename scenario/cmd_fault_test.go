package scenario

import (
	"io"
	"net/http"
	"strings"

	"github.com/rogpeppe/go-internal/testscript"
	"github.com/rotisserie/eris"
)

const faultsPath = "/faults"

func cmdFault(ts *testscript.TestScript, c *cluster, neg bool, args []string) {
	requireArgs(ts, neg, args, 2, "fault ID JSON")
	ts.Check(c.fault(args[0], strings.Join(args[1:], " ")))
}

// fault posts fault settings to the fault port of a stand-in.
func (c *cluster) fault(id, settings string) error {
	p, err := c.process(id)
	if err != nil {
		return err
	}
	if p.addrs.Faults == "" {
		return eris.Errorf("%s has no fault port", id)
	}
	resp, err := http.Post("http://"+p.addrs.Faults+faultsPath, "application/json", strings.NewReader(settings))
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return err
	}
	if resp.StatusCode >= http.StatusMultipleChoices {
		return eris.Errorf("%s rejected the fault settings: %s", id, data)
	}
	return nil
}
