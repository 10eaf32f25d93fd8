package cli

import (
	"context"
	"time"

	"github.com/hickorybank/hickorybank/internal/cli/dev"
	"github.com/hickorybank/hickorybank/internal/cli/setting"
)

const devHelp = `Run a whole example deployment in this process, on loopback: a stand-in
platform, stand-in upstreams and entry nodes. When it is ready it prints keys
and a curl line that works when pasted.

Examples:
  hickorybank dev --deployment tarifas
  hickorybank dev --deployment sahel --listen 127.0.0.1:9000 \
  --admin-listen 127.0.0.1:9001`

// devReadyTimeout is how long a deployment may take to become ready.
const devReadyTimeout = 60 * time.Second

type devCommand struct {
	logOptions
	env         *env
	Deployment  string           `long:"deployment" env:"HICKORYBANK_DEPLOYMENT" accept:"one of tarifas, sahel" default:"tarifas" description:"which deployment"`
	Listen      string           `long:"listen" env:"HICKORYBANK_LISTEN" accept:"address" default:"127.0.0.1:8080" description:"IP and port of the first entry node; the others take free ports"`
	AdminListen string           `long:"admin-listen" env:"HICKORYBANK_ADMIN_LISTEN" accept:"address" default:"127.0.0.1:8090" description:"IP and port for operators of the first entry node"`
	Entries     setting.Count    `long:"entries" env:"HICKORYBANK_ENTRIES" accept:"0..64" default:"0" description:"entry nodes; 0 is as many as the deployment has"`
	FirstToken  setting.Duration `long:"first-token" env:"HICKORYBANK_FIRST_TOKEN" accept:"0s..10m" default:"20ms" description:"time to the first token of an engine, alone"`
	TokenGap    setting.Duration `long:"token-gap" env:"HICKORYBANK_TOKEN_GAP" accept:"0s..1m" default:"2ms" description:"time between tokens of an engine, alone"`
	Tokens      setting.Count    `long:"tokens" env:"HICKORYBANK_TOKENS" accept:"1..100000" default:"16" description:"tokens of an answer"`
	AddressTTL  setting.Duration `long:"address-ttl" env:"HICKORYBANK_ADDRESS_TTL" accept:"100ms..1h" default:"1s" description:"how long callers may keep an answer of /v1/addresses"`
	Seed        setting.Count    `long:"seed" env:"HICKORYBANK_SEED" accept:"0..9223372036854775807" default:"1" description:"seed of what is random"`
}

// Execute runs the deployment until SIGINT or SIGTERM.
func (c *devCommand) Execute([]string) error {
	log := c.loggerWithLevel(c.env, "warn")
	d, err := dev.New(dev.Settings{
		Deployment: c.Deployment, Listen: c.Listen, AdminListen: c.AdminListen, Entries: c.Entries.Get(),
		FirstToken: c.FirstToken.Get(), TokenGap: c.TokenGap.Get(), Tokens: c.Tokens.Get(),
		AddressTTL: c.AddressTTL.Get(), Seed: c.Seed.Uint64(),
	}, log)
	if err != nil {
		return err
	}
	ready := func() error {
		ctx, cancel := context.WithTimeout(context.Background(), devReadyTimeout)
		defer cancel()
		if err := d.AwaitReady(ctx); err != nil {
			return err
		}
		d.PrintGuide(c.env.out)
		return nil
	}
	return run(log, stopTimeout, ready, d)
}
