package ledger

import (
	"errors"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/matryer/is"

	"github.com/hickorybank/hickorybank/internal/ledger/claim"
	"github.com/hickorybank/hickorybank/internal/request"
	"github.com/hickorybank/hickorybank/internal/standin/platform/fault"
)

// A non-repeatable call waits for its claim before it returns its first byte. The test
// prints the waits and the failed claims for each fault. Attempts whose claim failed must
// be granted after the fault.
func TestFailedClaimsAreFreeAfterEachFault(t *testing.T) {
	healthy := fault.Fault{DelayMS: 10}
	for _, phase := range []struct {
		name   string
		table  fault.Fault
		frozen []string
	}{
		{"all is well", healthy, nil},
		{"table slow, 1 s", fault.Fault{DelayMS: 1000}, nil},
		{"table loses half of its answers", fault.Fault{DelayMS: 10, LoseAckFraction: 0.5}, nil},
		{"table refuses half", fault.Fault{DelayMS: 10, RefuseFraction: 0.5}, nil},
		{"table down", fault.Fault{Down: true}, nil},
		{"three of eight nodes are frozen", healthy, []string{"e3", "e4", "e5"}},
	} {
		inBubble(t, 8, func(is *is.I, c *cluster) {
			c.setFaults(fault.Change{Table: &phase.table})
			c.fabric.mu.Lock()
			for _, id := range phase.frozen {
				c.fabric.frozen[id] = make(chan struct{})
			}
			c.fabric.mu.Unlock()
			load := &claimLoad{c: c, frozen: phase.frozen}
			load.run()
			load.print(t, phase.name)
			c.setFaults(fault.Change{Table: &healthy})
			time.Sleep(10 * time.Second)
			for _, r := range load.failed {
				got, err := claimIn(c.ledgers["e0"], 10*time.Second, r)
				is.NoErr(err)
				is.Equal(got.State, claim.Granted) // the same attempt may claim again
			}
		})
	}
}

// claimLoad sends claims at a steady rate from all nodes that are not frozen.
type claimLoad struct {
	c       *cluster
	frozen  []string
	mu      sync.Mutex
	waits   []time.Duration
	failed  []ClaimRequest
	unknown int
}

func (p *claimLoad) run() {
	var wg sync.WaitGroup
	for i := range 400 {
		vm := p.c.members[i%len(p.c.members)]
		if !slices.Contains(p.frozen, vm.ID) {
			wg.Go(func() { p.claim(p.c.ledgers[vm.ID]) })
		}
		time.Sleep(20 * time.Millisecond)
	}
	wg.Wait()
}

func (p *claimLoad) claim(l *Ledger) {
	r := claimOf(newKey(), uuid.NewString(), "body")
	began := time.Now()
	_, err := claimIn(l, 5*time.Second, r)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.waits = append(p.waits, time.Since(began))
	if err != nil {
		p.failed = append(p.failed, r)
	}
	if errors.Is(err, ErrClaimUnknown) {
		p.unknown++
	}
}

func (p *claimLoad) print(t *testing.T, name string) {
	slices.Sort(p.waits)
	at := func(part float64) time.Duration { return p.waits[int(part*float64(len(p.waits)-1))] }
	t.Logf("%-32s p50 %v, p99 %v, worst %v; %d claims, %d failed, of these %d in doubt; %d lost races", name,
		at(0.5), at(0.99), at(1), len(p.waits), len(p.failed), p.unknown, p.c.platform.Stats().Conflicts)
}

// The settlement of a short call follows its claim in the same log. If it had to wait for
// the gap between two writes although the budget is hardly used, the call would take 55 ms
// longer. A claim or settlement may only wait for its own write, which takes 10 ms of
// virtual time, and for one in flight.
func TestSettlementIsWrittenAtOnceWithinTheBurst(t *testing.T) {
	inBubble(t, 8, func(is *is.I, c *cluster) {
		calm := fault.Fault{DelayMS: 10}
		c.setFaults(fault.Change{Table: &calm, Objects: &calm})
		took := func() (claimed, settled time.Duration) {
			r := claimOf(newKey(), uuid.NewString(), "body")
			b := billOf(r.Key, 1)
			began := time.Now()
			_, err := claimIn(c.ledgers["e0"], 5*time.Second, r)
			is.NoErr(err)
			claimed = time.Since(began)
			began = time.Now()
			_, err = settleIn(c.ledgers["e0"], 5*time.Second, Settlement{Org: r.Org, Key: r.Key, Attempt: r.Attempt, Outcome: request.Completed, Bill: &b})
			is.NoErr(err)
			return claimed, time.Since(began)
		}
		for range 32 { // until all logs of the claim bucket were read and written once
			took()
		}
		for range 20 {
			time.Sleep(100 * time.Millisecond)
			claimed, settled := took()
			is.True(claimed <= 20*time.Millisecond)
			is.True(settled <= 20*time.Millisecond)
		}
	})
}
