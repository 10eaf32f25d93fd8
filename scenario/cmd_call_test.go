package scenario

import (
	"flag"
	"fmt"
	"strings"

	"github.com/rogpeppe/go-internal/testscript"
)

const (
	lastCall    = "last"
	noKey       = "-"
	testService = "billing"
)

// callOptions are the options of a call in a scenario.
type callOptions struct {
	name    string
	back    bool
	session string
	order   order
}

func (c *cluster) parseCall(args []string) (callOptions, []string, error) {
	var o callOptions
	flags := flag.NewFlagSet("call", flag.ContinueOnError)
	flags.StringVar(&o.name, "as", lastCall, "")
	flags.BoolVar(&o.back, "bg", false, "")
	flags.BoolVar(&o.order.stream, "stream", false, "")
	flags.BoolVar(&o.order.start, "start", false, "")
	flags.StringVar(&o.session, "session", "", "")
	flags.StringVar(&o.order.class, "class", "", "")
	flags.StringVar(&o.order.timeoutMS, "timeout", "", "")
	flags.StringVar(&o.order.service, "service", testService, "")
	if err := flags.Parse(args); err != nil {
		return o, nil, err
	}
	if o.session != "" {
		earlier, err := c.callers.result(o.session)
		if err != nil {
			return o, nil, err
		}
		o.order.session = earlier.session
	}
	return o, flags.Args(), nil
}

// target fills in where the call goes, and for whom.
func (c *cluster) target(o *order, entry, org, key string) error {
	p, err := c.process(entry)
	if err != nil {
		return err
	}
	o.entry, o.addr, o.org = entry, p.addrs.Main, org
	if key != noKey {
		o.key = key
	}
	return nil
}

func cmdCall(ts *testscript.TestScript, c *cluster, neg bool, args []string) {
	o, rest, err := c.parseCall(args)
	ts.Check(err)
	if len(rest) < 5 {
		ts.Fatalf("usage: call [OPTION...] ENTRY ORG KEY MODEL TEXT")
	}
	ts.Check(c.target(&o.order, rest[0], rest[1], rest[2]))
	o.order.service = ""
	o.order.model, o.order.text = rest[3], strings.Join(rest[4:], " ")
	c.make(ts, neg, o)
}

func cmdCallService(ts *testscript.TestScript, c *cluster, neg bool, args []string) {
	o, rest, err := c.parseCall(args)
	ts.Check(err)
	if len(rest) < 5 {
		ts.Fatalf("usage: callservice [OPTION...] ENTRY ORG KEY METHOD PATH [BODY]")
	}
	ts.Check(c.target(&o.order, rest[0], rest[1], rest[2]))
	o.order.method, o.order.path, o.order.body = rest[3], rest[4], strings.Join(rest[5:], " ")
	c.make(ts, neg, o)
}

// cmdReadOn reads the rest of a stream that broke, through another entry.
func cmdReadOn(ts *testscript.TestScript, c *cluster, neg bool, args []string) {
	o, rest, err := c.parseCall(args)
	ts.Check(err)
	if len(rest) != 2 {
		ts.Fatalf("usage: readon [OPTION...] ENTRY CALL")
	}
	began, err := c.callers.result(rest[1])
	ts.Check(err)
	name, back := o.name, o.back
	o = callOptions{name: name, back: back, order: began.order}
	o.order.began = &began
	ts.Check(c.target(&o.order, rest[0], began.order.org, began.order.key))
	c.make(ts, neg, o)
}

func (c *cluster) make(ts *testscript.TestScript, neg bool, o callOptions) {
	ts.Check(c.callers.begin(o.name, o.order))
	if o.back {
		return
	}
	c.finish(ts, neg, o.name)
}

func cmdJoin(ts *testscript.TestScript, c *cluster, neg bool, args []string) {
	needs(ts, false, args, 1, "join NAME")
	c.finish(ts, neg, args[0])
}

func (c *cluster) finish(ts *testscript.TestScript, neg bool, name string) {
	r, err := c.callers.join(name)
	fmt.Fprint(ts.Stdout(), r)
	ts.Check(err)
	if neg == (r.outcome == completed) {
		ts.Fatalf("call %s: %s", name, r)
	}
}
