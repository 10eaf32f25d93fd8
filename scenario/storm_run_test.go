package scenario

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/rotisserie/eris"

	platformclient "github.com/hickorybank/hickorybank/internal/platform/client"
	"github.com/hickorybank/hickorybank/internal/standin/platform/memory"
)

// storm is a cluster under load with a schedule of injected faults.
type storm struct {
	cluster *cluster
	load    *load
	seed    uint64
	logf    func(string, ...any)

	entries         []stormEntry
	engines         []string
	services        []string
	started         int        // entries, engines and services started so far
	stopping        []*process // entries that received SIGTERM
	toUnlist        []string   // exited VMs that the platform still lists
	busy            map[string]bool
	losses          int       // entries lost while bills may be held
	lastLoss        time.Time // time of the last loss
	platformFaultAt time.Time // time of the last change of a platform fault
	accepted        int       // last accepted revision
	counts          map[faultKind]int
}

// stormEntry is a running entry and its failure domain.
type stormEntry struct {
	id     string
	domain string
}

func newStorm(c *cluster, seed uint64, logf func(string, ...any)) *storm {
	return &storm{cluster: c, seed: seed, logf: logf, busy: map[string]bool{}, counts: map[faultKind]int{}}
}

// injectAll injects the planned faults and ends each of them.
func (s *storm) injectAll(plan []plannedFault) error {
	ends := make([]func() error, len(plan))
	for _, edge := range faultEdges(plan) {
		if err := s.awaitRequest(edge.at); err != nil {
			return err
		}
		fault := plan[edge.index]
		if edge.begin {
			end, what, err := s.inject(fault.kind, rand.New(rand.NewPCG(s.seed, fault.draw)))
			if err != nil {
				return eris.Wrapf(err, "%s at request %d", fault.kind, edge.at)
			}
			if what != "" {
				s.counts[fault.kind]++
				s.logf("request %d to %d: %s: %s", fault.from, fault.until, fault.kind, what)
			}
			ends[edge.index] = end
			continue
		}
		if end := ends[edge.index]; end != nil {
			if err := end(); err != nil {
				return eris.Wrapf(err, "end of %s at request %d", fault.kind, edge.at)
			}
		}
	}
	return nil
}

// awaitRequest waits until the load has started n requests.
func (s *storm) awaitRequest(n int) error {
	last, since := s.load.started.Load(), time.Now()
	for {
		now := s.load.started.Load()
		switch {
		case now >= int64(n):
			return nil
		case now > last:
			last, since = now, time.Now()
		case time.Since(since) > maxWait:
			return eris.Errorf("no request started within %s", maxWait)
		}
		time.Sleep(time.Millisecond)
	}
}

// verifyRecovery checks the state after the storm: stopped entries have exited, no entry holds
// bills, and the last accepted revision is in force at every entry.
func (s *storm) verifyRecovery() error {
	for _, p := range s.stopping {
		if err := await(s.cluster, awaitEnded, []string{p.id, "0"}); err != nil {
			return err
		}
	}
	// The reads of the check itself must not be rate limited.
	reads := 1e6
	if err := s.cluster.limits(memory.LimitsChange{ReadsPerSecond: &reads}); err != nil {
		return err
	}
	if err := s.unlist(); err != nil {
		return err
	}
	if err := await(s.cluster, awaitNoHeldBills, nil); err != nil || s.accepted == 0 {
		return err
	}
	for _, e := range s.entries {
		if err := await(s.cluster, awaitInForce, []string{fmt.Sprint(s.accepted), e.id}); err != nil {
			return eris.Wrap(err, e.id)
		}
	}
	return nil
}

// unlist removes the VMs that have exited from the platform's list.
func (s *storm) unlist() error {
	p, err := s.cluster.process(platformID)
	if err != nil {
		return err
	}
	client := platformclient.New("http://" + p.addrs.Main)
	defer client.Close()
	ctx, cancel := context.WithTimeout(context.Background(), controlTimeout)
	defer cancel()
	for len(s.toUnlist) > 0 {
		if err := client.RemoveVM(ctx, s.toUnlist[0]); err != nil {
			return err
		}
		s.toUnlist = s.toUnlist[1:]
	}
	return nil
}

func (s *storm) newEntry(domain string) error {
	s.started++
	e := stormEntry{fmt.Sprintf("entry%d", s.started), domain}
	s.entries = append(s.entries, e)
	return s.cluster.startEntry(e.id, "--failure-domain", domain, "--address-ttl", "500ms")
}

// newService starts a service with a latency, so that faults hit calls under way.
func (s *storm) newService() error {
	s.started++
	id := fmt.Sprintf("service%d", s.started)
	s.services = append(s.services, id)
	return s.cluster.startService(id, testService, "--latency", "150ms")
}

func (s *storm) newEngine() error {
	s.started++
	id := fmt.Sprintf("engine%d", s.started)
	s.engines = append(s.engines, id)
	return s.cluster.startEngine(id, "--failure-domain", exampleDomains[s.started%len(exampleDomains)])
}
