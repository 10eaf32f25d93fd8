package cli

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"time"

	"github.com/hickorybank/hickorybank/internal/cli/setting"
	"github.com/hickorybank/hickorybank/internal/crashguard"
	"github.com/hickorybank/hickorybank/internal/gateway"
)

const crashesHelp = `List the requests and parts of prompts that a gateway node refuses because
upstreams crashed under them, with the evidence; or pardon one.

Example:
  hickorybank crashes --node 10.0.0.7:9464
  hickorybank crashes --node 10.0.0.7:9464 --pardon 5cf98777a2bf6535

The node answers at the address of its metrics. It takes a pardon from its own VM
only. A pardon clears the crashes that count against the key, at all nodes and in the
platform's table; crashes after it count again.`

type crashesCommand struct {
	env     *env
	Node    string           `long:"node" env:"HICKORYBANK_NODE" accept:"text" needed:"yes" value-name:"HOST:PORT" description:"address of the node's metrics"`
	Pardon  string           `long:"pardon" env:"HICKORYBANK_PARDON" accept:"text" value-name:"KEY" description:"key to pardon, as it is listed"`
	JSON    bool             `long:"json" env:"HICKORYBANK_JSON" description:"print JSON for programs"`
	Timeout setting.Duration `long:"timeout" env:"HICKORYBANK_TIMEOUT" accept:"100ms..1m" default:"5s" description:"how long to wait for the node"`
}

// faults returns the faults of values whose form the tags can't describe.
func (c *crashesCommand) faults() setting.Faults {
	if host, port, err := net.SplitHostPort(c.Node); c.Node != "" && (err != nil || host == "" || port == "") {
		return setting.Faults{{Flag: "node", Variable: "HICKORYBANK_NODE", Value: c.Node, Accepted: "HOST:PORT, for example 10.0.0.7:9464"}}
	}
	if _, err := crashguard.ParseKey(c.Pardon); c.Pardon != "" && err != nil {
		return setting.Faults{{Flag: "pardon", Variable: "HICKORYBANK_PARDON", Value: c.Pardon, Accepted: "up to 16 hexadecimal digits"}}
	}
	return nil
}

// Execute asks the node and prints the keys that it holds, after the pardon if there is one.
func (c *crashesCommand) Execute([]string) error {
	held, err := c.ask()
	if err != nil {
		return err
	}
	if c.JSON {
		return writeJSON(c.env.out, held)
	}
	return printHeldKeys(c.env.out, held)
}

func (c *crashesCommand) ask() (*gateway.HeldKeys, error) {
	ctx, cancel := context.WithTimeout(context.Background(), c.Timeout.Get())
	defer cancel()
	method, target := http.MethodGet, url.URL{Scheme: "http", Host: c.Node, Path: gateway.CrashesPath}
	if c.Pardon != "" {
		method, target.Path = http.MethodDelete, gateway.CrashesPath+"/"+c.Pardon
	}
	held := &gateway.HeldKeys{}
	return held, callNode(ctx, c.Node, method, target, held)
}

func printHeldKeys(w io.Writer, held *gateway.HeldKeys) error {
	if len(held.Keys) == 0 {
		_, err := fmt.Fprintf(w, "%s refuses no requests for crashes of upstreams\n", held.Node)
		return err
	}
	t := newTable("KEY", "OF", "STATE", "STRIKES", "MOMENTS", "LATE", "CLEARED", "ANSWERED", "LAST CRASH", "TRIALS", "NEXT TRIAL IN")
	for i := range held.Keys {
		k := &held.Keys[i]
		kind, state, next := "request", "quarantined", "none"
		if k.Part {
			kind = "part"
		}
		if k.Convicted {
			state = "convicted"
		}
		if k.NextTrialMs >= 0 {
			next = (time.Duration(k.NextTrialMs) * time.Millisecond).Round(time.Second).String()
		}
		age := (time.Duration(k.LastCrashMs) * time.Millisecond).Round(time.Second).String() + " ago"
		t.add(k.Key, kind, state, k.Strikes, k.Moments, k.Late, k.Cleared, k.Answered, age, k.Trials, next)
	}
	return t.write(w)
}
