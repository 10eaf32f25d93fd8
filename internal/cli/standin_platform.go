package cli

import (
	"fmt"

	"github.com/hickorybank/hickorybank/internal/cli/setting"
	standin "github.com/hickorybank/hickorybank/internal/standin/platform"
	"github.com/hickorybank/hickorybank/internal/standin/platform/memory"
)

const standinHelp = `Run a stand-in for an outside system, for trials and tests.`

const standinPlatformHelp = `Run a stand-in platform: table, objects, VM list, ratings, weights.

Example:
  hickorybank standin platform --listen 127.0.0.1:8070

It prints "ready platform IP:PORT faults IP:PORT". Its fault port makes it
slow, down or lose answers, for example:
  curl -d '{"table":{"down":true}}' http://127.0.0.1:PORT/faults`

type standinPlatformCommand struct {
	logOptions
	env         *env
	Listen      string           `long:"listen" env:"HICKORYBANK_LISTEN" accept:"address" default:"127.0.0.1:8070" description:"IP and port"`
	FaultListen string           `long:"fault-listen" env:"HICKORYBANK_FAULT_LISTEN" accept:"address" default:"127.0.0.1:0" description:"IP and port of the fault interface"`
	Writes      setting.Number   `long:"writes" env:"HICKORYBANK_WRITES" accept:"0..1000000" default:"400" description:"writes a second that the store takes; 0 is no bound"`
	Reads       setting.Number   `long:"reads" env:"HICKORYBANK_READS" accept:"0..1000000" default:"2000" description:"reads a second that the store takes; 0 is no bound"`
	ListLag     setting.Duration `long:"list-lag" env:"HICKORYBANK_LIST_LAG" accept:"0s..1m" default:"1s" description:"how old the VM list is"`
	Seed        setting.Count    `long:"seed" env:"HICKORYBANK_SEED" accept:"0..9223372036854775807" default:"1" description:"seed of the rating noise and faults"`
	Noise       setting.Number   `long:"rating-noise" env:"HICKORYBANK_RATING_NOISE" accept:"0..1" default:"0.1" description:"standard deviation of a rating"`
}

// Execute runs the stand-in platform until SIGINT or SIGTERM.
func (c *standinPlatformCommand) Execute([]string) error {
	log := c.logger(c.env)
	server, err := standin.New(standin.Settings{
		Listen: c.Listen, FaultListen: c.FaultListen,
		Settings: memory.Settings{
			WritesPerSecond: c.Writes.Get(), ReadsPerSecond: c.Reads.Get(),
			VMListLag: c.ListLag.Get(), Seed: c.Seed.Uint64(), RatingNoise: c.Noise.Get(),
		},
	}, log)
	if err != nil {
		return err
	}
	ready := func() error {
		fmt.Fprintln(c.env.out, "ready platform", server.Addr(), "faults", server.FaultAddr())
		return nil
	}
	return run(log, stopTimeout, ready, server)
}
