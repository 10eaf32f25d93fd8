package cli

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/url"
	"time"

	"github.com/hickorybank/hickorybank/internal/cli/setting"
	"github.com/hickorybank/hickorybank/internal/explain"
)

const explainHelp = `Ask a gateway node where a request would go now, and why. Nothing is sent to
an upstream, and nothing that the node knows is changed.

Example:
  hickorybank explain --node 10.0.0.7:9464 --host api.example --path /chat/a \
  --organisation harbour --tokens-in 6000 --part system:4000 --part own:2000

The node answers at the address of its metrics. Parts are given in the order of
the prompt; the last one belongs to this request alone.`

type explainCommand struct {
	env          *env
	Node         string           `long:"node" env:"HICKORYBANK_NODE" accept:"text" needed:"yes" value-name:"HOST:PORT" description:"address of the node's metrics"`
	Host         string           `long:"host" env:"HICKORYBANK_HOST" accept:"text" needed:"yes" description:"host of the request"`
	Path         string           `long:"path" env:"HICKORYBANK_PATH" accept:"text" needed:"yes" description:"raw path of the request, without a query"`
	Organisation string           `long:"organisation" env:"HICKORYBANK_ORGANISATION" accept:"text" description:"name of the caller's organisation; none, if not given"`
	Model        string           `long:"model" env:"HICKORYBANK_MODEL" accept:"text" default:"any" description:"requested model; any leaves the choice to the router"`
	TokensIn     setting.Count    `long:"tokens-in" env:"HICKORYBANK_TOKENS_IN" accept:"0..100000000" default:"0" description:"tokens of the prompt"`
	TokensOut    setting.Count    `long:"tokens-out" env:"HICKORYBANK_TOKENS_OUT" accept:"0..100000000" default:"0" description:"bound on the answer's tokens"`
	Parts        []string         `long:"part" env:"HICKORYBANK_PART" env-delim:"," accept:"text" value-name:"ID:TOKENS" description:"part of the prompt (repeat)"`
	Session      string           `long:"session" env:"HICKORYBANK_SESSION" accept:"text" description:"the caller's session; none, if not given"`
	JSON         bool             `long:"json" env:"HICKORYBANK_JSON" description:"print JSON for programs"`
	Timeout      setting.Duration `long:"timeout" env:"HICKORYBANK_TIMEOUT" accept:"100ms..1m" default:"5s" description:"how long to wait for the node"`
}

// request returns the described request; faults are what the node would reject.
func (c *explainCommand) request() (explain.Request, error) {
	parts, err := explain.ParseParts(c.Parts)
	if err != nil {
		return explain.Request{}, err
	}
	r := explain.Request{
		Host: c.Host, Path: c.Path, Organisation: c.Organisation, Model: c.Model,
		TokensIn: c.TokensIn.Get(), TokensOut: c.TokensOut.Get(), Parts: parts, Session: c.Session,
	}
	return explain.Parse(r.Values())
}

// faults returns the faults of values whose form the tags can't describe.
func (c *explainCommand) faults() setting.Faults {
	if c.Node == "" || c.Host == "" || c.Path == "" {
		return nil // reported as missing
	}
	if host, port, err := net.SplitHostPort(c.Node); err != nil || host == "" || port == "" {
		return setting.Faults{{Flag: "node", Variable: "HICKORYBANK_NODE", Value: c.Node, Accepted: "HOST:PORT, for example 10.0.0.7:9464"}}
	}
	_, err := c.request()
	var f *explain.Fault
	if !errors.As(err, &f) {
		return nil
	}
	variables := map[string]string{"host": "HICKORYBANK_HOST", "path": "HICKORYBANK_PATH", "part": "HICKORYBANK_PART", "organisation": "HICKORYBANK_ORGANISATION", "model": "HICKORYBANK_MODEL", "session": "HICKORYBANK_SESSION"}
	if variables[f.Field] == "" {
		return nil // reported by its tag
	}
	return setting.Faults{{Flag: f.Field, Variable: variables[f.Field], Value: f.Value, Accepted: f.Accepted}}
}

// Execute asks the node and prints its answer.
func (c *explainCommand) Execute([]string) error {
	r, err := c.request()
	if err != nil {
		return err
	}
	report, err := askNode(c.Node, &r, c.Timeout.Get())
	if err != nil {
		return err
	}
	if c.JSON {
		return writeJSON(c.env.out, report)
	}
	return printExplanation(c.env.out, report)
}

// askNode asks the node at an address where the request would go.
func askNode(address string, r *explain.Request, timeout time.Duration) (*explain.Report, error) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	report := &explain.Report{}
	target := url.URL{Scheme: "http", Host: address, Path: explain.Path, RawQuery: r.Values().Encode()}
	if err := callNode(ctx, address, http.MethodGet, target, report); err != nil {
		return nil, err
	}
	return report, nil
}
