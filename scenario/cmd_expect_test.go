package scenario

import (
	"strings"

	"github.com/rogpeppe/go-internal/testscript"
	"github.com/rotisserie/eris"
)

var matters = map[string]condition{
	"outcome":     awaitOutcome,
	"bills":       expectBills,
	"runs":        expectRuns,
	"newruns":     expectNewRuns,
	"newdeclined": expectNewDeclined,
	"same":        expectSame,
	"version":     expectVersion,
}

// cmdExpect checks at once; "await" waits until the same holds.
func cmdExpect(ts *testscript.TestScript, c *cluster, neg bool, args []string) {
	needs(ts, false, args, 1, "expect MATTER ARG...")
	check := matters[args[0]]
	if check == nil {
		ts.Fatalf("there is no matter %s", args[0])
	}
	err := check(c, args[1:])
	if neg && err == nil {
		ts.Fatalf("%s holds", strings.Join(args, " "))
	}
	if !neg {
		ts.Check(eris.Wrap(err, strings.Join(args, " ")))
	}
}

// expectSame: NAME NAME: two calls got the same answer, to the byte.
func expectSame(c *cluster, args []string) error {
	if len(args) != 2 {
		return errUsage
	}
	a, err := c.callers.result(args[0])
	if err != nil {
		return err
	}
	b, err := c.callers.result(args[1])
	if err != nil {
		return err
	}
	if a.text != b.text || a.version != b.version {
		return eris.Errorf("the answers differ:\n%s%s", a, b)
	}
	return nil
}

// expectVersion: NAME VERSION: the call was answered by the version.
func expectVersion(c *cluster, args []string) error {
	if len(args) != 2 {
		return errUsage
	}
	r, err := c.callers.result(args[0])
	if err != nil {
		return err
	}
	if r.version != args[1] {
		return eris.Errorf("answered by %s, not %s", r.version, args[1])
	}
	return nil
}
