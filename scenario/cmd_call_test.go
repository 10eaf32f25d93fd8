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

// callOptions are the parsed options of a call command.
type callOptions struct {
	name       string
	background bool
	session    string
	call       call
}

func (c *cluster) parseCall(args []string) (callOptions, []string, error) {
	var o callOptions
	flags := flag.NewFlagSet("call", flag.ContinueOnError)
	flags.StringVar(&o.name, "as", lastCall, "")
	flags.BoolVar(&o.background, "bg", false, "")
	flags.BoolVar(&o.call.stream, "stream", false, "")
	flags.BoolVar(&o.call.start, "start", false, "")
	flags.StringVar(&o.session, "session", "", "")
	flags.StringVar(&o.call.class, "class", "", "")
	flags.StringVar(&o.call.timeoutMS, "timeout", "", "")
	flags.StringVar(&o.call.service, "service", testService, "")
	if err := flags.Parse(args); err != nil {
		return o, nil, err
	}
	if o.session != "" {
		earlier, err := c.callers.result(o.session)
		if err != nil {
			return o, nil, err
		}
		o.call.session = earlier.session
	}
	return o, flags.Args(), nil
}

// target sets the entry, the organisation and the idempotency key of a call.
func (c *cluster) target(o *call, entry, org, key string) error {
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
	ts.Check(c.target(&o.call, rest[0], rest[1], rest[2]))
	o.call.service = ""
	o.call.model, o.call.text = rest[3], strings.Join(rest[4:], " ")
	c.runCall(ts, neg, o)
}

func cmdCallService(ts *testscript.TestScript, c *cluster, neg bool, args []string) {
	o, rest, err := c.parseCall(args)
	ts.Check(err)
	if len(rest) < 5 {
		ts.Fatalf("usage: callservice [OPTION...] ENTRY ORG KEY METHOD PATH [BODY]")
	}
	ts.Check(c.target(&o.call, rest[0], rest[1], rest[2]))
	o.call.method, o.call.path, o.call.body = rest[3], rest[4], strings.Join(rest[5:], " ")
	c.runCall(ts, neg, o)
}

// cmdReadOn resumes an interrupted stream through another entry.
func cmdReadOn(ts *testscript.TestScript, c *cluster, neg bool, args []string) {
	o, rest, err := c.parseCall(args)
	ts.Check(err)
	if len(rest) != 2 {
		ts.Fatalf("usage: readon [OPTION...] ENTRY CALL")
	}
	began, err := c.callers.result(rest[1])
	ts.Check(err)
	name, back := o.name, o.background
	o = callOptions{name: name, background: back, call: began.call}
	o.call.resumeFrom = &began
	ts.Check(c.target(&o.call, rest[0], began.call.org, began.call.key))
	c.runCall(ts, neg, o)
}

func (c *cluster) runCall(ts *testscript.TestScript, neg bool, o callOptions) {
	ts.Check(c.callers.start(o.name, o.call))
	if o.background {
		return
	}
	c.finishCall(ts, neg, o.name)
}

func cmdJoin(ts *testscript.TestScript, c *cluster, neg bool, args []string) {
	requireArgs(ts, false, args, 1, "join NAME")
	c.finishCall(ts, neg, args[0])
}

func (c *cluster) finishCall(ts *testscript.TestScript, neg bool, name string) {
	r, err := c.callers.join(name)
	fmt.Fprint(ts.Stdout(), r)
	ts.Check(err)
	if neg == (r.outcome == completed) {
		ts.Fatalf("call %s: %s", name, r)
	}
}
