package scenario

import (
	"syscall"
	"time"

	"github.com/rogpeppe/go-internal/testscript"
)

func (c *cluster) processArg(ts *testscript.TestScript, neg bool, args []string, usage string) *process {
	requireArgs(ts, neg, args, 1, usage)
	p, err := c.process(args[0])
	ts.Check(err)
	return p
}

func cmdSigkill(ts *testscript.TestScript, c *cluster, neg bool, args []string) {
	ts.Check(c.kill(c.processArg(ts, neg, args, "sigkill ID")))
}

func cmdSigterm(ts *testscript.TestScript, c *cluster, neg bool, args []string) {
	ts.Check(c.processArg(ts, neg, args, "sigterm ID").signal(syscall.SIGTERM))
}

func cmdFreeze(ts *testscript.TestScript, c *cluster, neg bool, args []string) {
	ts.Check(c.freeze(c.processArg(ts, neg, args, "freeze ID"), true))
}

func cmdThaw(ts *testscript.TestScript, c *cluster, neg bool, args []string) {
	ts.Check(c.freeze(c.processArg(ts, neg, args, "thaw ID"), false))
}

func cmdCut(ts *testscript.TestScript, c *cluster, neg bool, args []string) {
	c.gateArg(ts, neg, args, "cut A B").cut()
}

func cmdHeal(ts *testscript.TestScript, c *cluster, neg bool, args []string) {
	c.gateArg(ts, neg, args, "heal A B").heal()
}

// cmdSlow delays each read of data between two processes.
func cmdSlow(ts *testscript.TestScript, c *cluster, neg bool, args []string) {
	requireArgs(ts, neg, args, 3, "slow A B DURATION")
	delay, err := time.ParseDuration(args[2])
	ts.Check(err)
	c.gateArg(ts, neg, args, "slow A B DURATION").slow(delay)
}

func (c *cluster) gateArg(ts *testscript.TestScript, neg bool, args []string, usage string) *gate {
	requireArgs(ts, neg, args, 2, usage)
	if !c.relayed {
		ts.Fatalf("the scenario does not start with the relays command")
	}
	return c.network.gate(args[0], args[1])
}
