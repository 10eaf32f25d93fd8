package scenario

import (
	"encoding/json"
	"net/http"
	"os"
	"os/exec"
	"regexp"
	"slices"
	"strconv"
	"strings"

	"github.com/rotisserie/eris"

	"github.com/hickorybank/hickorybank/internal/example"
	"github.com/hickorybank/hickorybank/internal/upstream"
)

func init() {
	conditions["says"] = awaitAdminOutput
	conditions["loaded"] = awaitLoaded
}

// awaitAdminOutput: ENTRY PATTERN ARG...: the output of "hickorybank admin ARG..." at the
// entry matches the regular expression.
func awaitAdminOutput(c *cluster, args []string) error {
	if len(args) < 3 {
		return errUsage
	}
	pattern, err := regexp.Compile("(?m)" + args[1])
	if err != nil {
		return err
	}
	out, err := c.runAdmin(args[0], args[2:]...)
	if err != nil {
		return eris.Wrap(err, out)
	}
	if !pattern.MatchString(out) {
		return eris.Errorf("output of admin %s does not match:\n%s", strings.Join(args[2:], " "), out)
	}
	return nil
}

func (c *cluster) runAdmin(entry string, args ...string) (string, error) {
	addr, err := c.adminAddr(entry)
	if err != nil {
		return "", err
	}
	cmd := exec.Command(binary, append([]string{"admin"}, args...)...)
	cmd.Env = append(os.Environ(), "HICKORYBANK_ADMIN=http://"+addr, "HICKORYBANK_OPERATOR_KEY="+example.OperatorKey)
	out, err := cmd.CombinedOutput()
	return string(out), err
}

// awaitLoaded: VERSION N: exactly N engines have loaded the version.
func awaitLoaded(c *cluster, args []string) error {
	if len(args) != 2 {
		return errUsage
	}
	var have []string
	for _, p := range c.upstreams() {
		versions, err := fetchVersions(p.addrs.Main)
		if err != nil {
			return err
		}
		if slices.Contains(versions, args[0]) {
			have = append(have, p.id)
		}
	}
	if strconv.Itoa(len(have)) != args[1] {
		return eris.Errorf("%s is loaded at %v, want %s engines", args[0], have, args[1])
	}
	return nil
}

func fetchVersions(addr string) ([]string, error) {
	resp, err := runsClient.Get("http://" + addr + "/state")
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return nil, nil // a plain service has no state endpoint
	}
	var state upstream.EngineState
	return state.Versions, json.NewDecoder(resp.Body).Decode(&state)
}
