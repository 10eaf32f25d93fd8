package scenario

import (
	"fmt"
	"os"
	"os/exec"

	"github.com/rogpeppe/go-internal/testscript"
	"github.com/rotisserie/eris"

	"github.com/hickorybank/hickorybank/internal/admin/client"
	"github.com/hickorybank/hickorybank/internal/example"
)

const bootstrap = "bootstrap"

// cmdAdmin runs "hickorybank admin": bootstrap against the platform, every other command
// against the administration interface of an entry.
func cmdAdmin(ts *testscript.TestScript, c *cluster, neg bool, args []string) {
	requireArgs(ts, false, args, 1, "admin [-at ENTRY] ARG...")
	at := ""
	if args[0] == "-at" {
		requireArgs(ts, false, args, 3, "admin [-at ENTRY] ARG...")
		at, args = args[1], args[2:]
	}
	full := append([]string{"admin"}, args...)
	env := os.Environ()
	if args[0] == bootstrap {
		full = append(full, "--platform", c.platformURLOrFail(ts, "operator"))
	} else {
		addr, err := c.adminAddr(at)
		ts.Check(err)
		env = append(env, "HICKORYBANK_ADMIN=http://"+addr, "HICKORYBANK_OPERATOR_KEY="+example.OperatorKey)
	}
	cmd := exec.Command(binary, full...)
	cmd.Dir = ts.MkAbs(".")
	cmd.Env = env
	out, err := cmd.CombinedOutput()
	fmt.Fprintf(ts.Stdout(), "%s", out)
	if neg == (err == nil) {
		ts.Fatalf("hickorybank admin: %v\n%s", err, out)
	}
}

// adminAddr returns the administration address of the entry, or of any running entry that is
// not frozen if entry is empty.
func (c *cluster) adminAddr(entry string) (string, error) {
	if entry == "" {
		for _, p := range c.entries() {
			if p.addrs.Admin != "" && !c.isFrozen(p.id) {
				return p.addrs.Admin, nil
			}
		}
		return "", eris.New("no entry is running")
	}
	p, err := c.process(entry)
	if err != nil {
		return "", err
	}
	return p.addrs.Admin, nil
}

func (c *cluster) operator(entry string) (*client.Client, error) {
	addr, err := c.adminAddr(entry)
	if err != nil {
		return nil, err
	}
	return client.New("http://"+addr, example.OperatorKey), nil
}
