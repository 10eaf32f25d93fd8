package scenario

import (
	"github.com/rogpeppe/go-internal/testscript"
)

const freePort = "127.0.0.1:0"

// startArgs is the command line of a process, with the settings that most
// scenarios leave as they are.
type startArgs struct {
	id   string
	args []string
}

func (c *cluster) run(ts *testscript.TestScript, s startArgs, more []string) {
	_, err := c.start(s.id, append(s.args, more...)...)
	ts.Check(err)
}

func (c *cluster) platformFor(ts *testscript.TestScript, id string) string {
	url, err := c.platformURL(id)
	ts.Check(err)
	return url
}

func needs(ts *testscript.TestScript, neg bool, args []string, least int, usage string) {
	if neg {
		ts.Fatalf("! does not go with this command")
	}
	if len(args) < least {
		ts.Fatalf("usage: %s", usage)
	}
}

func cmdRelays(ts *testscript.TestScript, c *cluster, neg bool, args []string) {
	needs(ts, neg, args, 0, "relays")
	c.relayed = true
}

func cmdPlatform(ts *testscript.TestScript, c *cluster, neg bool, args []string) {
	needs(ts, neg, args, 0, "platform [FLAG...]")
	c.run(ts, startArgs{platformID, []string{"standin", "platform", "--listen", freePort, "--list-lag", "100ms"}}, args)
}

func cmdEngine(ts *testscript.TestScript, c *cluster, neg bool, args []string) {
	needs(ts, neg, args, 1, "engine ID [FLAG...]")
	id := args[0]
	c.run(ts, startArgs{id, []string{
		"standin", "upstream", "--id", id, "--listen", freePort, "--failure-domain", "manga",
		"--platform", c.platformFor(ts, id),
		"--serve", "dues@1", "--serve", "dues@2", "--serve", "lines@1", "--serve", "lines@2",
	}}, args[1:])
}

func cmdService(ts *testscript.TestScript, c *cluster, neg bool, args []string) {
	needs(ts, neg, args, 2, "service ID NAME [FLAG...]")
	id := args[0]
	c.run(ts, startArgs{id, []string{
		"standin", "upstream", "--kind", "service", "--id", id, "--service", args[1],
		"--listen", freePort, "--failure-domain", "manga", "--platform", c.platformFor(ts, id),
	}}, args[2:])
}

func cmdEntry(ts *testscript.TestScript, c *cluster, neg bool, args []string) {
	needs(ts, neg, args, 1, "entry ID [FLAG...]")
	id := args[0]
	c.run(ts, startArgs{id, []string{
		"entry", "--id", id, "--listen", freePort, "--failure-domain", "manga",
		"--platform", c.platformFor(ts, id), "--register",
	}}, args[1:])
}
