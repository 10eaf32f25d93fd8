package scenario

import (
	"flag"
	"fmt"

	"github.com/rogpeppe/go-internal/testscript"
	"github.com/rotisserie/eris"
)

const defaultRate = 100

var errUnbilled = eris.New("completed requests without a bill")

// cmdLoad starts a load in the background, or stops it and checks every request that it
// sent.
func cmdLoad(ts *testscript.TestScript, c *cluster, neg bool, args []string) {
	requireArgs(ts, neg, args, 2, "load start|stop NAME [OPTION...]")
	switch args[0] {
	case "start":
		c.startLoad(ts, args[1], args[2:])
	case "stop":
		c.stopLoad(ts, args[1], args[2:])
	default:
		ts.Fatalf("load: got %s, want start or stop", args[0])
	}
}

func (c *cluster) startLoad(ts *testscript.TestScript, name string, args []string) {
	o := loadOptions{name: name, seed: 1}
	flags := flag.NewFlagSet("load start", flag.ContinueOnError)
	flags.Float64Var(&o.rate, "rate", defaultRate, "")
	flags.IntVar(&o.maxRequests, "most", 0, "")
	flags.BoolVar(&o.keepAddresses, "hold", false, "")
	flags.BoolVar(&o.once, "once", false, "")
	flags.BoolVar(&o.retryNotRun, "insist", false, "")
	flags.BoolVar(&o.chatOnly, "chat", false, "")
	flags.StringVar(&o.model, "model", "", "")
	flags.StringVar(&o.org, "org", "", "")
	ts.Check(flags.Parse(args))
	if c.loads[name] != nil {
		ts.Fatalf("load %s is already running", name)
	}
	c.loads[name] = newLoad(c, o)
	c.loads[name].start()
}

func (c *cluster) stopLoad(ts *testscript.TestScript, name string, args []string) {
	var uncut bool
	var minCompleted, minNotRun int
	flags := flag.NewFlagSet("load stop", flag.ContinueOnError)
	flags.BoolVar(&uncut, "uncut", false, "")
	flags.IntVar(&minCompleted, "completed", 1, "")
	flags.IntVar(&minNotRun, "notrun", 0, "")
	ts.Check(flags.Parse(args))
	l := c.loads[name]
	if l == nil {
		ts.Fatalf("load %s is not running", name)
	}
	p, err := c.report(l.finish())
	delete(c.loads, name)
	fmt.Fprint(ts.Stdout(), p)
	ts.Check(err)
	if p.violations() > 0 || p.Completed < minCompleted || p.NotRun < minNotRun || (uncut && p.Cuts > 0) {
		ts.Fatalf("load %s: %s", name, p)
	}
}
