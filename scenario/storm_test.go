package scenario

import (
	"cmp"
	"flag"
	"testing"
	"time"

	"github.com/matryer/is"
)

var (
	stormRequests = flag.Int("storm.requests", 1500, "requests of the storm")
	stormRate     = flag.Float64("storm.rate", 100, "requests a second")
	stormCalm     = flag.Float64("storm.calm", 0, "seconds of each 20 in which entries are killed instead of the platform struck")
	stormDir      = flag.String("storm.dir", "", "folder that keeps the processes' logs")
	stormSeed     = flag.Uint64("storm.seed", 1, "seed of requests and faults")
)

// A night in which everything fails that may fail, at any moment, together and
// twice: entries die, stop and stand still, links are cut, engines crash and
// cross their streams, services lose answers, the stores are down, slow or
// lose answers, and operators change presets. Callers send each request again
// until it has an answer. Afterwards every request is held against the runs at
// the upstreams and the bills in the store; every count of something wrong
// must be 0.
func TestStorm(t *testing.T) {
	is := is.New(t)
	c := newCluster(cmp.Or(*stormDir, t.TempDir()))
	t.Cleanup(func() { is.NoErr(c.close()) })
	s := newStorm(c, *stormSeed, func(format string, args ...any) { t.Logf(time.Now().Format(clockFormat)+" "+format, args...) })
	is.NoErr(s.build())

	s.load = newLoad(c, loadOptions{name: "storm", rate: *stormRate, most: *stormRequests, seed: *stormSeed, again: true})
	began := time.Now()
	s.load.start()
	t.Cleanup(s.load.abandon)
	is.NoErr(s.rage(planStorm(*stormSeed, *stormRequests, *stormRate, *stormCalm)))
	records := s.load.wait()
	t.Logf("%d requests in %s, faults: %v", *stormRequests, time.Since(began).Round(time.Second), s.counts)
	is.NoErr(s.calm())

	p, err := c.report(records)
	is.NoErr(err)
	t.Log(p)
	if p.wrong() > 0 || p.GaveUp > 0 {
		t.Fatalf("seed %d: %s", *stormSeed, p)
	}
	is.Equal(p.Sent, *stormRequests)
	is.True(p.Completed > p.Sent/2) // the storm leaves most of the work whole
}

// exampleDomains are the failure domains of the example deployment.
var exampleDomains = []string{"manga", "bocagrande", "mamonal", "getsemani"}

const (
	stormEntries  = 8
	stormEngines  = 5
	stormServices = 3
)

// build starts everything.
func (s *storm) build() error {
	c := s.cluster
	c.relayed = true
	if err := c.startPlatform(); err != nil {
		return err
	}
	for range stormEngines {
		if err := s.newEngine(); err != nil {
			return err
		}
	}
	for range stormServices {
		if err := s.newService(); err != nil {
			return err
		}
	}
	if err := writeExamples(c.dir); err != nil {
		return err
	}
	if err := s.admin("bootstrap", c.dir+"/tarifas.json"); err != nil {
		return err
	}
	for i := range stormEntries {
		if err := s.newEntry(exampleDomains[i%len(exampleDomains)]); err != nil {
			return err
		}
	}
	for _, e := range s.entries {
		if err := await(c, awaitServing, []string{e.id}); err != nil {
			return err
		}
	}
	return nil
}
