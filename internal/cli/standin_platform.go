package cli

import (
	"fmt"
	"time"

	standin "github.com/hickorybank/hickorybank/internal/standin/platform"
)

type standinPlatformCommand struct {
	logOptions
	env         *env
	Listen      string        `long:"listen" env:"HICKORYBANK_LISTEN" default:"127.0.0.1:8070" description:"IP and port"`
	FaultListen string        `long:"fault-listen" env:"HICKORYBANK_FAULT_LISTEN" default:"127.0.0.1:0" description:"IP and port of the fault interface"`
	Writes      float64       `long:"writes" env:"HICKORYBANK_WRITES" default:"400" description:"writes a second that the store takes"`
	Reads       float64       `long:"reads" env:"HICKORYBANK_READS" default:"2000" description:"reads a second that the store takes"`
	ListLag     time.Duration `long:"list-lag" env:"HICKORYBANK_LIST_LAG" default:"1s" description:"how old the VM list is"`
	Seed        uint64        `long:"seed" env:"HICKORYBANK_SEED" default:"1" description:"seed of the rating noise and faults"`
	Noise       float64       `long:"rating-noise" env:"HICKORYBANK_RATING_NOISE" default:"0.1" description:"standard deviation of a rating"`
}

// Execute runs the stand-in platform until it is told to stop.
func (c *standinPlatformCommand) Execute([]string) error {
	log := c.logger(c.env)
	server, err := standin.New(standin.Settings{
		Listen: c.Listen, FaultListen: c.FaultListen,
		WritesPerSecond: c.Writes, ReadsPerSecond: c.Reads,
		VMListLag: c.ListLag, Seed: c.Seed, RatingNoise: c.Noise,
	}, log)
	if err != nil {
		return err
	}
	ready := func() error {
		fmt.Fprintln(c.env.out, "ready platform", server.Addr(), "faults", server.FaultAddr())
		return nil
	}
	return run(log, ready, server)
}
