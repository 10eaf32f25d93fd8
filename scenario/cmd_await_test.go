package scenario

import (
	"strings"
	"time"

	"github.com/rogpeppe/go-internal/testscript"
	"github.com/rotisserie/eris"
)

const (
	awaitGap = 50 * time.Millisecond
	// stopTimeout applies to the planned stop of an entry. An entry that lost contact with a
	// peer waits 15 s before it refuses requests, and then until its requests end.
	stopTimeout = 2 * time.Minute
)

// condition is a check that a scenario can wait for. It returns nil if the condition holds.
type condition func(c *cluster, args []string) error

var conditions = map[string]condition{
	"serving":     awaitServing,
	"ended":       awaitEnded,
	"listed":      awaitListed,
	"unlisted":    awaitUnlisted,
	"log":         awaitLog,
	"bills":       expectBills,
	"runs":        expectRuns,
	"newruns":     expectNewRuns,
	"pieces":      awaitPieces,
	"inforce":     awaitInForce,
	"newcalls":    awaitNewCalls,
	"callsok":     awaitCallsOK,
	"servicesok":  awaitServicesOK,
	"outcome":     awaitOutcome,
	"addresses":   awaitAddresses,
	"noaddresses": awaitNoAddresses,
	"objects":     awaitObjects,
}

func cmdAwait(ts *testscript.TestScript, c *cluster, neg bool, args []string) {
	requireArgs(ts, neg, args, 1, "await CONDITION ARG...")
	check := conditions[args[0]]
	if check == nil {
		ts.Fatalf("unknown condition %s", args[0])
	}
	timeout := maxWait
	if args[0] == "ended" {
		timeout = stopTimeout
	}
	ts.Check(eris.Wrap(awaitFor(c, timeout, check, args[1:]), strings.Join(args, " ")))
}

func await(c *cluster, cond condition, args []string) error { return awaitFor(c, maxWait, cond, args) }

func awaitFor(c *cluster, timeout time.Duration, check condition, args []string) error {
	end := time.Now().Add(timeout)
	for {
		err := check(c, args)
		if err == nil || time.Now().After(end) {
			return err
		}
		time.Sleep(awaitGap)
	}
}
