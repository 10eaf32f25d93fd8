package cli

import (
	"fmt"
	"time"

	"github.com/rotisserie/eris"

	"github.com/hickorybank/hickorybank/internal/platform"
	platformclient "github.com/hickorybank/hickorybank/internal/platform/client"
	"github.com/hickorybank/hickorybank/internal/standin/engine"
	"github.com/hickorybank/hickorybank/internal/standin/service"
)

type standinUpstreamCommand struct {
	logOptions
	env           *env
	ID            string        `long:"id" env:"HICKORYBANK_ID" required:"true" description:"this VM's name"`
	Kind          string        `long:"kind" env:"HICKORYBANK_KIND" choice:"engine" choice:"service" default:"engine" description:"what it stands in for"`
	Service       string        `long:"service" env:"HICKORYBANK_SERVICE" description:"name of the plain service"`
	Listen        string        `long:"listen" env:"HICKORYBANK_LISTEN" default:"127.0.0.1:0" description:"IP and port"`
	FaultListen   string        `long:"fault-listen" env:"HICKORYBANK_FAULT_LISTEN" default:"127.0.0.1:0" description:"IP and port of the fault interface"`
	FailureDomain string        `long:"failure-domain" env:"HICKORYBANK_FAILURE_DOMAIN" required:"true" description:"this VM's failure domain"`
	Versions      []string      `long:"serve" env:"HICKORYBANK_SERVE" env-delim:"," description:"version that is loaded at the start (repeat)"`
	Batch         int           `long:"batch" env:"HICKORYBANK_BATCH" default:"16" description:"requests that an engine runs together"`
	FirstToken    time.Duration `long:"first-token" env:"HICKORYBANK_FIRST_TOKEN" default:"20ms" description:"time to the first token, alone"`
	TokenGap      time.Duration `long:"token-gap" env:"HICKORYBANK_TOKEN_GAP" default:"2ms" description:"time between tokens, alone"`
	Tokens        int           `long:"tokens" env:"HICKORYBANK_TOKENS" default:"16" description:"tokens of an answer"`
	HonourFence   bool          `long:"honour-fence" env:"HICKORYBANK_HONOUR_FENCE" description:"refuse orders with an old fencing number"`
	LoadLag       time.Duration `long:"load-lag" env:"HICKORYBANK_LOAD_LAG" default:"500ms" description:"how old load reports are"`
	Platform      string        `long:"platform" env:"HICKORYBANK_PLATFORM" description:"base URL of the stand-in platform to register with"`
}

type upstreamPart interface {
	part
	Addr() string
	FaultAddr() string
}

// Execute runs the stand-in until it is told to stop.
func (c *standinUpstreamCommand) Execute([]string) error {
	log := c.logger(c.env)
	server, vm, err := c.build()
	if err != nil {
		return err
	}
	ready := func() error {
		vm.Addr = server.Addr()
		fmt.Fprintln(c.env.out, "ready upstream", c.ID, server.Addr(), "faults", server.FaultAddr())
		if c.Platform == "" {
			return nil
		}
		return register(platformclient.New(c.Platform), vm)
	}
	return run(log, ready, server)
}

func (c *standinUpstreamCommand) build() (upstreamPart, platform.VM, error) {
	vm := platform.VM{ID: c.ID, FailureDomain: c.FailureDomain, State: platform.Live}
	if c.Kind == "service" {
		return c.buildService(vm)
	}
	vm.Role = platform.RoleEngine
	server, err := engine.New(engine.Settings{
		ID: c.ID, Listen: c.Listen, FaultListen: c.FaultListen, FailureDomain: c.FailureDomain,
		Versions: c.Versions, BatchLimit: c.Batch, TimeToFirstToken: c.FirstToken, TokenGap: c.TokenGap,
		TokensPerAnswer: c.Tokens, HonourFence: c.HonourFence, LoadLag: c.LoadLag, WeightsURL: c.Platform,
	}, c.logger(c.env))
	return server, vm, err
}

func (c *standinUpstreamCommand) buildService(vm platform.VM) (upstreamPart, platform.VM, error) {
	if c.Service == "" {
		return nil, vm, eris.New("--service (HICKORYBANK_SERVICE): a service needs its name")
	}
	vm.Role = platform.RoleService
	vm.Service = c.Service
	server, err := service.New(service.Settings{
		ID: c.ID, Listen: c.Listen, FaultListen: c.FaultListen, Service: c.Service, FailureDomain: c.FailureDomain,
	}, c.logger(c.env))
	return server, vm, err
}
