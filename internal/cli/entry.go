package cli

import (
	"fmt"

	"github.com/hickorybank/hickorybank/internal/node"
	"github.com/hickorybank/hickorybank/internal/platform"
	platformclient "github.com/hickorybank/hickorybank/internal/platform/client"
	upstreamclient "github.com/hickorybank/hickorybank/internal/upstream/client"
)

type entryCommand struct {
	logOptions
	env           *env
	ID            string `long:"id" env:"HICKORYBANK_ID" required:"true" description:"this VM's name in the platform's list"`
	Listen        string `long:"listen" env:"HICKORYBANK_LISTEN" default:"127.0.0.1:8080" description:"IP and port for callers"`
	FailureDomain string `long:"failure-domain" env:"HICKORYBANK_FAILURE_DOMAIN" required:"true" description:"this VM's failure domain"`
	Platform      string `long:"platform" env:"HICKORYBANK_PLATFORM" required:"true" description:"base URL of the platform"`
	Register      bool   `long:"register" env:"HICKORYBANK_REGISTER" description:"tell a stand-in platform of this VM"`
}

// Execute runs an entry node until it is told to stop.
func (c *entryCommand) Execute([]string) error {
	log := c.logger(c.env)
	client := platformclient.New(c.Platform)
	n := node.New(
		node.Settings{ID: c.ID, Listen: c.Listen, FailureDomain: c.FailureDomain},
		node.Deps{Platform: client, Engines: upstreamclient.NewEngines(upstreamclient.Options{}), Services: upstreamclient.NewServices(upstreamclient.Options{}), Log: log},
	)
	ready := func() error {
		fmt.Fprintln(c.env.out, "ready entry", n.Addr())
		if !c.Register {
			return nil
		}
		return register(client, platform.VM{ID: c.ID, Role: platform.RoleEntry, Addr: n.Addr(), FailureDomain: c.FailureDomain, State: platform.Live})
	}
	return run(log, ready, n)
}
