package scenario

import (
	"syscall"

	"github.com/rogpeppe/go-internal/testscript"
)

func (c *cluster) must(ts *testscript.TestScript, neg bool, args []string, usage string) *process {
	needs(ts, neg, args, 1, usage)
	p, err := c.process(args[0])
	ts.Check(err)
	return p
}

func cmdSigkill(ts *testscript.TestScript, c *cluster, neg bool, args []string) {
	c.must(ts, neg, args, "sigkill ID").kill()
}

func cmdSigterm(ts *testscript.TestScript, c *cluster, neg bool, args []string) {
	ts.Check(c.must(ts, neg, args, "sigterm ID").signal(syscall.SIGTERM))
}

func cmdFreeze(ts *testscript.TestScript, c *cluster, neg bool, args []string) {
	ts.Check(c.must(ts, neg, args, "freeze ID").signal(syscall.SIGSTOP))
}

func cmdThaw(ts *testscript.TestScript, c *cluster, neg bool, args []string) {
	ts.Check(c.must(ts, neg, args, "thaw ID").signal(syscall.SIGCONT))
}

func cmdCut(ts *testscript.TestScript, c *cluster, neg bool, args []string) {
	c.gateOf(ts, neg, args, "cut A B").cut()
}

func cmdHeal(ts *testscript.TestScript, c *cluster, neg bool, args []string) {
	c.gateOf(ts, neg, args, "heal A B").heal()
}

func (c *cluster) gateOf(ts *testscript.TestScript, neg bool, args []string, usage string) *gate {
	needs(ts, neg, args, 2, usage)
	if !c.relayed {
		ts.Fatalf("the scenario does not begin with relays")
	}
	return c.network.gate(args[0], args[1])
}
