package scenario

import (
	"cmp"
	"flag"
	"testing"
	"time"

	"github.com/matryer/is"
)

var (
	stormRequests = flag.Int("storm.requests", 1500, "number of requests")
	stormRate     = flag.Float64("storm.rate", 100, "requests per second")
	stormCalm     = flag.Float64("storm.calm", 0, "seconds of every 20 s in which entry kills replace platform faults")
	stormDir      = flag.String("storm.dir", "", "folder for the processes' logs, kept after the test")
	stormSeed     = flag.Uint64("storm.seed", 1, "random seed of requests and faults")
)

// TestStorm guards against requests that run twice, lose their bill or get a wrong answer when
// several faults overlap. Entries are killed, stopped and frozen; links are cut; engines crash
// and mix up their streams; services lose answers; the stores are down, slow or lose answers;
// operators change presets. Callers retry each request until it has an answer. Afterwards
// every request is compared with the runs at the upstreams and the bills in the store.
func TestStorm(t *testing.T) {
	is := is.New(t)
	c := newCluster(cmp.Or(*stormDir, t.TempDir()))
	t.Cleanup(func() { is.NoErr(c.close()) })
	s := newStorm(c, *stormSeed, func(format string, args ...any) { t.Logf(time.Now().Format(clockFormat)+" "+format, args...) })
	is.NoErr(s.build())

	s.load = newLoad(c, loadOptions{name: "storm", rate: *stormRate, maxRequests: *stormRequests, seed: *stormSeed, retryUnknown: true})
	began := time.Now()
	s.load.start()
	t.Cleanup(s.load.abandon)
	is.NoErr(s.injectAll(planStorm(*stormSeed, *stormRequests, *stormRate, *stormCalm)))
	records := s.load.wait()
	t.Logf("%d requests in %s, faults: %v", *stormRequests, time.Since(began).Round(time.Second), s.counts)
	is.NoErr(s.verifyRecovery())

	p, err := c.report(records)
	is.NoErr(err)
	t.Log(p)
	if p.violations() > 0 || p.GaveUp > 0 {
		t.Fatalf("seed %d: %s", *stormSeed, p)
	}
	is.Equal(p.Sent, *stormRequests)
	is.True(p.Completed > p.Sent/2) // most requests must complete
}

// exampleDomains are the failure domains of the example deployment.
var exampleDomains = []string{"manga", "bocagrande", "mamonal", "getsemani"}

const (
	stormEntries  = 8
	stormEngines  = 5
	stormServices = 3
)

// build starts the platform, the upstreams and the entries, and waits until every entry
// serves.
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
