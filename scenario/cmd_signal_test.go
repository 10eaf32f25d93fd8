package scenario

import (
	"syscall"
	"time"

	"github.com/rogpeppe/go-internal/testscript"
)

func (c *cluster) must(ts *testscript.TestScript, neg bool, args []string, usage string) *process {
	needs(ts, neg, args, 1, usage)
	p, err := c.process(args[0])
	ts.Check(err)
	return p
}

func cmdSigkill(ts *testscript.TestScript, c *cluster, neg bool, args []string) {
	ts.Check(c.kill(c.must(ts, neg, args, "sigkill ID")))
}

func cmdSigterm(ts *testscript.TestScript, c *cluster, neg bool, args []string) {
	ts.Check(c.must(ts, neg, args, "sigterm ID").signal(syscall.SIGTERM))
}

func cmdFreeze(ts *testscript.TestScript, c *cluster, neg bool, args []string) {
	ts.Check(c.freeze(c.must(ts, neg, args, "freeze ID"), true))
}

func cmdThaw(ts *testscript.TestScript, c *cluster, neg bool, args []string) {
	ts.Check(c.freeze(c.must(ts, neg, args, "thaw ID"), false))
}

func cmdCut(ts *testscript.TestScript, c *cluster, neg bool, args []string) {
	c.gateOf(ts, neg, args, "cut A B").cut()
}

func cmdHeal(ts *testscript.TestScript, c *cluster, neg bool, args []string) {
	c.gateOf(ts, neg, args, "heal A B").heal()
}

// cmdSlow delays each piece of data between two processes.
func cmdSlow(ts *testscript.TestScript, c *cluster, neg bool, args []string) {
	needs(ts, neg, args, 3, "slow A B DURATION")
	delay, err := time.ParseDuration(args[2])
	ts.Check(err)
	c.gateOf(ts, neg, args, "slow A B DURATION").slow(delay)
}

func (c *cluster) gateOf(ts *testscript.TestScript, neg bool, args []string, usage string) *gate {
	needs(ts, neg, args, 2, usage)
	if !c.relayed {
		ts.Fatalf("the scenario does not begin with relays")
	}
	return c.network.gate(args[0], args[1])
}
