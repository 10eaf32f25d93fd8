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

// storm is a cluster under a load and a schedule of faults.
type storm struct {
	cluster *cluster
	load    *load
	seed    uint64
	logf    func(string, ...any)

	entries  []stormEntry
	engines  []string
	services []string
	started  int        // of all three so far
	stopping []*process // told to stop
	gone     []string   // VMs that the platform still lists
	busy     map[string]bool
	losses   int       // of entries while bills may be held
	lost     time.Time // when the last was lost
	struck   time.Time // when the store was last struck
	accepted int       // revisions
	counts   map[strikeKind]int
}

// stormEntry is an entry that serves.
type stormEntry struct {
	id     string
	domain string
}

func newStorm(c *cluster, seed uint64, logf func(string, ...any)) *storm {
	return &storm{cluster: c, seed: seed, logf: logf, busy: map[string]bool{}, counts: map[strikeKind]int{}}
}

// rage strikes at the planned moments and ends each fault.
func (s *storm) rage(plan []strike) error {
	ends := make([]func() error, len(plan))
	for _, turn := range turns(plan) {
		if err := s.awaitRequest(turn.at); err != nil {
			return err
		}
		k := plan[turn.index]
		if turn.begin {
			end, what, err := s.strike(k.kind, rand.New(rand.NewPCG(s.seed, k.draw)))
			if err != nil {
				return eris.Wrapf(err, "%s at request %d", k.kind, turn.at)
			}
			if what != "" {
				s.counts[k.kind]++
				s.logf("request %d to %d: %s: %s", k.from, k.until, k.kind, what)
			}
			ends[turn.index] = end
			continue
		}
		if end := ends[turn.index]; end != nil {
			if err := end(); err != nil {
				return eris.Wrapf(err, "end of %s at request %d", k.kind, turn.at)
			}
		}
	}
	return nil
}

// awaitRequest waits until so many requests have begun.
func (s *storm) awaitRequest(n int) error {
	last, since := s.load.begun.Load(), time.Now()
	for {
		now := s.load.begun.Load()
		switch {
		case now >= int64(n):
			return nil
		case now > last:
			last, since = now, time.Now()
		case time.Since(since) > limit:
			return eris.Errorf("no request has begun for %s", limit)
		}
		time.Sleep(time.Millisecond)
	}
}

// calm checks what must hold when the storm is over: who was told to stop has
// ended by itself, nobody holds bills any more, and the last accepted revision
// is in force at every entry.
func (s *storm) calm() error {
	for _, p := range s.stopping {
		if err := await(s.cluster, awaitEnded, []string{p.id, "0"}); err != nil {
			return err
		}
	}
	// What the check itself reads is no part of the storm.
	reads := 1e6
	if err := s.cluster.limits(memory.LimitsChange{ReadsPerSecond: &reads}); err != nil {
		return err
	}
	if err := s.unlist(); err != nil {
		return err
	}
	if err := await(s.cluster, awaitUnheld, nil); err != nil || s.accepted == 0 {
		return err
	}
	for _, e := range s.entries {
		if err := await(s.cluster, awaitInForce, []string{fmt.Sprint(s.accepted), e.id}); err != nil {
			return eris.Wrap(err, e.id)
		}
	}
	return nil
}

// unlist has the platform drop the VMs that are gone from its list.
func (s *storm) unlist() error {
	p, err := s.cluster.process(platformID)
	if err != nil {
		return err
	}
	client := platformclient.New("http://" + p.addrs.Main)
	defer client.Close()
	ctx, cancel := context.WithTimeout(context.Background(), dumpLimit)
	defer cancel()
	for len(s.gone) > 0 {
		if err := client.RemoveVM(ctx, s.gone[0]); err != nil {
			return err
		}
		s.gone = s.gone[1:]
	}
	return nil
}

func (s *storm) newEntry(domain string) error {
	s.started++
	e := stormEntry{fmt.Sprintf("entry%d", s.started), domain}
	s.entries = append(s.entries, e)
	return s.cluster.startEntry(e.id, "--failure-domain", domain, "--address-ttl", "500ms")
}

// newService starts a service that takes its time, so that a strike finds calls
// under way.
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
