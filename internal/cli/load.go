package cli

import (
	"context"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/google/uuid"
	"github.com/rotisserie/eris"

	"github.com/hickorybank/hickorybank/internal/cli/setting"
	"github.com/hickorybank/hickorybank/internal/load"
	platformclient "github.com/hickorybank/hickorybank/internal/platform/client"
	upstreamclient "github.com/hickorybank/hickorybank/internal/upstream/client"
)

const loadHelp = `Send open-loop load and report latency, outcomes and cost. Requests start
by a seeded schedule, whether or not earlier ones have ended, and latency
counts from the scheduled time. Each answer is checked to be whole and its own.

With --direct, half of the requests go to the upstreams alone, in the same run
under the same conditions, so that overhead is a ratio.

Examples, against "hickorybank dev":
  hickorybank load --entry 127.0.0.1:8080 --rate 50 --duration 10s
  hickorybank load --entry 127.0.0.1:8080 --rate 100 --duration 20s \
  --direct --platform URL --plot latency.svg --out report.json

It ends with 1 when an answer was foreign or partial, or none was complete.`

type loadCommand struct {
	env         *env
	Entries     []string         `long:"entry" env:"HICKORYBANK_ENTRY" env-delim:"," accept:"address" needed:"yes" description:"IP and port of an entry node to ask for addresses first (repeat)"`
	Deployment  string           `long:"deployment" env:"HICKORYBANK_DEPLOYMENT" accept:"one of tarifas, sahel" default:"tarifas" description:"whose mix of work"`
	Mix         string           `long:"mix" env:"HICKORYBANK_MIX" accept:"text" description:"JSON file with another mix"`
	Rate        setting.Number   `long:"rate" env:"HICKORYBANK_RATE" accept:"0.01..1000000" default:"20" description:"requests a second, of all lanes together"`
	Arrivals    string           `long:"arrivals" env:"HICKORYBANK_ARRIVALS" accept:"one of poisson, constant" default:"poisson" description:"how requests are spread in time"`
	Duration    setting.Duration `long:"duration" env:"HICKORYBANK_DURATION" accept:"100ms..24h" default:"10s" description:"from the first start to the last, warm-up included"`
	WarmUp      setting.Duration `long:"warm-up" env:"HICKORYBANK_WARM_UP" accept:"0s..1h" default:"2s" description:"beginning that stays out of the figures"`
	Seed        setting.Count    `long:"seed" env:"HICKORYBANK_SEED" accept:"0..9223372036854775807" default:"1" description:"seed of the schedule"`
	MaxInFlight setting.Count    `long:"max-in-flight" env:"HICKORYBANK_MAX_IN_FLIGHT" accept:"1..1000000" default:"8192" description:"requests that may run at a time; more are counted as not sent"`
	Direct      bool             `long:"direct" env:"HICKORYBANK_DIRECT" description:"send half of the requests to the upstreams alone"`
	Platform    string           `long:"platform" env:"HICKORYBANK_PLATFORM" accept:"url" description:"base URL of the platform, whose list names the upstreams; for --direct"`
	JSON        bool             `long:"json" env:"HICKORYBANK_JSON" description:"print the report as JSON"`
	Out         string           `long:"out" env:"HICKORYBANK_OUT" accept:"text" description:"file for the report as JSON"`
	Plot        string           `long:"plot" env:"HICKORYBANK_PLOT" accept:"text" description:"file for an SVG plot of latency"`
}

func (c *loadCommand) faults() setting.Faults {
	var faults setting.Faults
	if c.Direct && c.Platform == "" {
		faults = append(faults, setting.Fault{Flag: "platform", Variable: "HICKORYBANK_PLATFORM", Accepted: "a base URL, with --direct"})
	}
	if c.WarmUp.Get() >= c.Duration.Get() && c.Duration.Get() > 0 {
		faults = append(faults, setting.Fault{Flag: "warm-up", Variable: "HICKORYBANK_WARM_UP", Value: c.WarmUp.Get().String(), Accepted: "less than --duration"})
	}
	return faults
}

// Execute sends the load and reports on it. A signal stops new requests; running ones are waited for.
func (c *loadCommand) Execute([]string) error {
	mix, err := c.mix()
	if err != nil {
		return err
	}
	ctx, cancel := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer cancel()
	settings := load.Settings{
		Run: uuid.NewString(), Mix: mix, Arrivals: load.Arrivals(c.Arrivals), PerSecond: c.Rate.Get(),
		Duration: c.Duration.Get(), WarmUp: c.WarmUp.Get(), Seed: c.Seed.Uint64(), MaxInFlight: c.MaxInFlight.Get(),
	}
	routed := load.NewRouted(settings.Run, c.Entries, mix)
	defer routed.Close()
	if !c.Direct {
		return c.run(ctx, settings, routed)
	}
	return c.runWithDirect(ctx, settings, routed)
}

func (c *loadCommand) mix() (*load.Mix, error) {
	if c.Mix == "" {
		return load.DeploymentMix(c.Deployment)
	}
	data, err := os.ReadFile(c.Mix)
	if err != nil {
		return nil, eris.Wrap(err, "read mix")
	}
	return load.ParseMix(data)
}

// listTimeout is the time limit for reading the platform's VM list.
const listTimeout = 30 * time.Second

func (c *loadCommand) runWithDirect(ctx context.Context, s load.Settings, routed load.Lane) error {
	client := platformclient.New(c.Platform)
	defer client.Close()
	engines := upstreamclient.NewEngines(upstreamclient.Options{})
	defer engines.Close()
	services := upstreamclient.NewServices(upstreamclient.Options{})
	defer services.Close()
	listCtx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	direct, err := load.NewDirect(listCtx, s.Run, s.Mix, client.VMs(), engines, services)
	if err != nil {
		return err
	}
	return c.run(ctx, s, routed, direct)
}

func (c *loadCommand) run(ctx context.Context, s load.Settings, lanes ...load.Lane) error {
	r, err := load.Run(ctx, s, lanes...)
	if err != nil {
		return err
	}
	if err := c.print(r); err != nil {
		return err
	}
	if err := c.writeFiles(r); err != nil {
		return err
	}
	if failed := r.WrongAnswers(); failed > 0 {
		return eris.Errorf("%d answers were foreign or partial", failed)
	}
	if r.Completed() == 0 {
		return eris.New("no request was completed")
	}
	return nil
}

func (c *loadCommand) print(r *load.Report) error {
	if c.JSON {
		return writeJSON(c.env.out, r)
	}
	return r.Text(c.env.out)
}

func (c *loadCommand) writeFiles(r *load.Report) error {
	if c.Out != "" {
		if err := writeFile(c.Out, func(f *os.File) error { return writeJSON(f, r) }); err != nil {
			return err
		}
	}
	if c.Plot != "" {
		return writeFile(c.Plot, func(f *os.File) error { return r.SVG(f) })
	}
	return nil
}

func writeFile(name string, write func(*os.File) error) error {
	f, err := os.Create(name)
	if err != nil {
		return eris.Wrap(err, "write file")
	}
	if err := write(f); err != nil {
		_ = f.Close() // the error of the write is returned
		return err
	}
	return eris.Wrap(f.Close(), "write file")
}
