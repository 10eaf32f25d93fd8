package scenario

import (
	"net"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/hickorybank/hickorybank/internal/config"
	"github.com/hickorybank/hickorybank/internal/example"
)

func (c *cluster) platformURLOrFail(ts *testscript.TestScript, id string) string {
	url, err := c.platformURL(id)
	ts.Check(err)
	return url
}

func requireArgs(ts *testscript.TestScript, neg bool, args []string, minimum int, usage string) {
	if neg {
		ts.Fatalf("this command cannot be negated with !")
	}
	if len(args) < minimum {
		ts.Fatalf("usage: %s", usage)
	}
}

func cmdRelays(ts *testscript.TestScript, c *cluster, neg bool, args []string) {
	requireArgs(ts, neg, args, 0, "relays")
	c.relayed = true
}

func cmdPlatform(ts *testscript.TestScript, c *cluster, neg bool, args []string) {
	requireArgs(ts, neg, args, 0, "platform [FLAG...]")
	ts.Check(c.startPlatform(args...))
}

func cmdEngine(ts *testscript.TestScript, c *cluster, neg bool, args []string) {
	requireArgs(ts, neg, args, 1, "engine ID [FLAG...]")
	ts.Check(c.startEngine(args[0], args[1:]...))
}

func cmdService(ts *testscript.TestScript, c *cluster, neg bool, args []string) {
	requireArgs(ts, neg, args, 2, "service ID NAME [FLAG...]")
	ts.Check(c.startService(args[0], args[1], args[2:]...))
}

func cmdEntry(ts *testscript.TestScript, c *cluster, neg bool, args []string) {
	requireArgs(ts, neg, args, 1, "entry ID [FLAG...]")
	ts.Check(c.startEntry(args[0], args[1:]...))
}

// The start functions pass the settings that most scenarios use. Flags in more follow them
// and override them.

func (c *cluster) startPlatform(more ...string) error {
	args := []string{"standin", "platform", "--listen", uniqueListen(), "--list-lag", "100ms"}
	_, err := c.start(platformID, append(args, more...)...)
	return err
}

func (c *cluster) startEngine(id string, more ...string) error {
	url, err := c.platformURL(id)
	if err != nil {
		return err
	}
	args := []string{
		"standin", "upstream", "--id", id, "--listen", uniqueListen(), "--failure-domain", "manga", "--platform", url,
		"--serve", "dues@1", "--serve", "dues@2", "--serve", "lines@1", "--serve", "lines@2",
	}
	_, err = c.start(id, append(args, more...)...)
	return err
}

func (c *cluster) startService(id, name string, more ...string) error {
	url, err := c.platformURL(id)
	if err != nil {
		return err
	}
	args := []string{
		"standin", "upstream", "--kind", "service", "--id", id, "--service", name,
		"--listen", uniqueListen(), "--failure-domain", "manga", "--platform", url,
	}
	_, err = c.start(id, append(args, more...)...)
	return err
}

func (c *cluster) startEntry(id string, more ...string) error {
	url, err := c.platformURL(id)
	if err != nil {
		return err
	}
	listen := uniqueListen()
	ip, _, err := net.SplitHostPort(listen)
	if err != nil {
		return err
	}
	c.network.addSource(ip, id)
	args := []string{
		"entry", "--id", id, "--listen", listen, "--failure-domain", "manga", "--platform", url, "--register",
		"--peer-listen", listen, "--source-ip", ip, "--admin-listen", listen, "--operator-key-hash", "operator=" + config.HashKey(example.OperatorKey),
	}
	_, err = c.start(id, append(args, more...)...)
	return err
}
