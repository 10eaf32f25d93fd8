package cli

import (
	"fmt"

	"github.com/hickorybank/hickorybank/internal/cli/setting"
	"github.com/hickorybank/hickorybank/internal/platform"
	platformclient "github.com/hickorybank/hickorybank/internal/platform/client"
	"github.com/hickorybank/hickorybank/internal/standin/engine"
	"github.com/hickorybank/hickorybank/internal/standin/service"
)

const standinUpstreamHelp = `Run a stand-in model engine or plain service.

Examples:
  hickorybank standin upstream --id eng1 --failure-domain manga \
  --serve dues@1 --serve lines@1 --platform http://127.0.0.1:8070
  hickorybank standin upstream --id bill1 --kind service --service billing \
  --failure-domain manga --platform http://127.0.0.1:8070

It prints "ready upstream ID IP:PORT faults IP:PORT".`

type standinUpstreamCommand struct {
	logOptions
	env           *env
	ID            string           `long:"id" env:"HICKORYBANK_ID" accept:"name" needed:"yes" description:"this VM's name"`
	Kind          string           `long:"kind" env:"HICKORYBANK_KIND" accept:"one of engine, service" default:"engine" description:"what it stands in for"`
	Service       string           `long:"service" env:"HICKORYBANK_SERVICE" accept:"name" description:"name of the plain service"`
	Listen        string           `long:"listen" env:"HICKORYBANK_LISTEN" accept:"address" default:"127.0.0.1:0" description:"IP and port"`
	FaultListen   string           `long:"fault-listen" env:"HICKORYBANK_FAULT_LISTEN" accept:"address" default:"127.0.0.1:0" description:"IP and port of the fault interface"`
	FailureDomain string           `long:"failure-domain" env:"HICKORYBANK_FAILURE_DOMAIN" accept:"name" needed:"yes" description:"this VM's failure domain"`
	Versions      []string         `long:"serve" env:"HICKORYBANK_SERVE" env-delim:"," accept:"name" description:"version that is loaded at the start (repeat)"`
	Batch         setting.Count    `long:"batch" env:"HICKORYBANK_BATCH" accept:"1..10000" default:"16" description:"requests that an engine runs together"`
	FirstToken    setting.Duration `long:"first-token" env:"HICKORYBANK_FIRST_TOKEN" accept:"0s..10m" default:"20ms" description:"time to the first token, alone"`
	TokenGap      setting.Duration `long:"token-gap" env:"HICKORYBANK_TOKEN_GAP" accept:"0s..1m" default:"2ms" description:"time between tokens, alone"`
	Tokens        setting.Count    `long:"tokens" env:"HICKORYBANK_TOKENS" accept:"1..100000" default:"16" description:"tokens of an answer"`
	HonourFence   bool             `long:"honour-fence" env:"HICKORYBANK_HONOUR_FENCE" description:"refuse orders with an old fencing number"`
	LoadLag       setting.Duration `long:"load-lag" env:"HICKORYBANK_LOAD_LAG" accept:"0s..10m" default:"500ms" description:"how old load reports are"`
	Latency       setting.Duration `long:"latency" env:"HICKORYBANK_LATENCY" accept:"0s..10m" default:"0s" description:"time that a call of a plain service takes"`
	Platform      string           `long:"platform" env:"HICKORYBANK_PLATFORM" accept:"url" description:"base URL of the stand-in platform to register with"`
}

// standinServer is a stand-in model engine or plain service.
type standinServer interface {
	component
	Addr() string
	FaultAddr() string
}

func (c *standinUpstreamCommand) faults() setting.Faults {
	if c.Kind != "service" || c.Service != "" {
		return nil
	}
	return setting.Faults{{Flag: "service", Variable: "HICKORYBANK_SERVICE", Accepted: "the name of the service, with --kind service"}}
}

// Execute runs the stand-in until SIGINT or SIGTERM.
func (c *standinUpstreamCommand) Execute([]string) error {
	log := c.logger(c.env)
	server, vm, err := c.build()
	if err != nil {
		return err
	}
	ready := func() error {
		vm.Addr = server.Addr()
		if c.Platform != "" {
			if err := register(platformclient.New(c.Platform), vm); err != nil {
				return err
			}
		}
		fmt.Fprintln(c.env.out, "ready upstream", c.ID, server.Addr(), "faults", server.FaultAddr())
		return nil
	}
	return run(log, stopTimeout, ready, server)
}

func (c *standinUpstreamCommand) build() (standinServer, platform.VM, error) {
	vm := platform.VM{ID: c.ID, FailureDomain: c.FailureDomain, State: platform.Live}
	if c.Kind == "service" {
		return c.buildService(vm)
	}
	vm.Role = platform.RoleEngine
	server, err := engine.New(engine.Settings{
		ID: c.ID, Listen: c.Listen, FaultListen: c.FaultListen, FailureDomain: c.FailureDomain,
		Versions: c.Versions, BatchLimit: c.Batch.Get(), TimeToFirstToken: c.FirstToken.Get(), TokenGap: c.TokenGap.Get(),
		TokensPerAnswer: c.Tokens.Get(), HonourFence: c.HonourFence, LoadLag: c.LoadLag.Get(), WeightsURL: c.Platform,
	}, c.logger(c.env))
	return server, vm, err
}

func (c *standinUpstreamCommand) buildService(vm platform.VM) (standinServer, platform.VM, error) {
	vm.Role = platform.RoleService
	vm.Service = c.Service
	server, err := service.New(service.Settings{
		ID: c.ID, Listen: c.Listen, FaultListen: c.FaultListen, Service: c.Service, FailureDomain: c.FailureDomain,
		Latency: c.Latency.Get(),
	}, c.logger(c.env))
	return server, vm, err
}
