package scenario

import (
	"strings"

	"github.com/rogpeppe/go-internal/testscript"
	"github.com/rotisserie/eris"
)

var expectations = map[string]condition{
	"outcome":     awaitOutcome,
	"bills":       expectBills,
	"runs":        expectRuns,
	"newruns":     expectNewRuns,
	"newdeclined": expectNewDeclined,
	"same":        expectSame,
	"version":     expectVersion,
}

// cmdExpect evaluates a check once, unlike "await", which repeats it until it holds.
func cmdExpect(ts *testscript.TestScript, c *cluster, neg bool, args []string) {
	requireArgs(ts, false, args, 1, "expect CHECK ARG...")
	check := expectations[args[0]]
	if check == nil {
		ts.Fatalf("unknown check %s", args[0])
	}
	err := check(c, args[1:])
	if neg && err == nil {
		ts.Fatalf("%s holds, but must not", strings.Join(args, " "))
	}
	if !neg {
		ts.Check(eris.Wrap(err, strings.Join(args, " ")))
	}
}

// expectSame: NAME NAME: two calls have byte-identical answers from the same version.
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

// expectVersion: NAME VERSION: the version answered the call.
func expectVersion(c *cluster, args []string) error {
	if len(args) != 2 {
		return errUsage
	}
	r, err := c.callers.result(args[0])
	if err != nil {
		return err
	}
	if r.version != args[1] {
		return eris.Errorf("answered by version %s, want %s", r.version, args[1])
	}
	return nil
}
