package ledger

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/hickorybank/hickorybank/internal/standin/platform/fault"
)

var storms = flag.Int("storms", 1, "how many random storms of each kind to run")

// VMs are lost in quick succession and replaced a second later, while the platform's stores
// go down and come back. Each bill reported as safe must be there once in the end, provided
// that at most two VMs are lost within the time that it takes to replace lost copies. With
// random times, three may be lost; the bills lost then are only printed.
func TestBillsSurviveAStormOfLostVMs(t *testing.T) {
	for _, kind := range []stormKind{
		{"one at a time", 7 * time.Second, 4 * time.Second, 1, 0, true},
		{"two at a time", 9 * time.Second, 4 * time.Second, 2, 0, true},
		{"two at a time, two planned", 9 * time.Second, 4 * time.Second, 2, 2, true},
		{"at random, each 4 s", 0, 8 * time.Second, 1, 0, false},
		{"at random, each 2 s", 0, 4 * time.Second, 1, 0, false},
	} {
		safe, lost, killed := 0, 0, 0
		for seed := range uint64(*storms) {
			s := newStorm(seed, kind)
			inBubble(t, 8, s.run)
			safe, lost, killed = safe+len(s.safe), lost+s.lost, killed+s.killed
		}
		t.Logf("%-26s %d VMs lost, %d safe bills, %d of them not there", kind.name, killed, safe, lost)
		if kind.strict && lost > 0 {
			t.Errorf("%s: %d bills were lost", kind.name, lost)
		}
	}
}

// stormKind determines how VMs are lost.
type stormKind struct {
	name         string
	interval     time.Duration // minimum time between losses
	jitter       time.Duration // random additional time, up to this
	victims      int           // VMs lost at a time
	plannedStops int           // further VMs that stop as planned at the same time
	strict       bool          // no bill may be lost
}

const stormTime = 2 * time.Minute

// storm is a run with bills, losses of VMs and faults of the stores.
type storm struct {
	rng    *rand.Rand
	kind   stormKind
	mu     sync.Mutex
	safe   map[string]bool
	dead   map[string]bool
	killed int
	lost   int
}

func newStorm(seed uint64, kind stormKind) *storm {
	return &storm{rng: rand.New(rand.NewPCG(seed, 7)), kind: kind, safe: map[string]bool{}, dead: map[string]bool{}}
}

func (s *storm) run(_ *is.I, c *cluster) {
	var wg sync.WaitGroup
	end := time.Now().Add(stormTime)
	killing, breaking := rand.New(rand.NewPCG(s.rng.Uint64(), 8)), rand.New(rand.NewPCG(s.rng.Uint64(), 9))
	wg.Go(func() { s.kill(c, end, killing) })
	wg.Go(func() { s.breakStores(c, end, breaking) })
	for time.Now().Before(end) {
		id := fmt.Sprintf("e%d", s.rng.IntN(8))
		wg.Go(func() { s.bill(c, id) })
		time.Sleep(50 * time.Millisecond)
	}
	wg.Wait()
	c.storeDown(false)
	time.Sleep(2 * time.Minute)
	counts := map[string]int{}
	for _, b := range c.allBills("e0") {
		counts[b.Key]++
	}
	for k := range s.safe {
		if counts[k] != 1 {
			s.lost++
		}
	}
}

// bill sends a bill to a node. The bill counts as safe only if the node was not lost in
// the meantime.
func (s *storm) bill(c *cluster, id string) {
	s.mu.Lock()
	l, dead := c.ledgers[id], s.dead[id]
	s.mu.Unlock()
	if dead {
		return
	}
	b := billOf(newKey(), 1)
	_, err := billIn(l, 10*time.Second, b)
	s.mu.Lock()
	defer s.mu.Unlock()
	if err == nil && c.ledgers[id] == l && !s.dead[id] {
		s.safe[b.Key] = true
	}
}

func (s *storm) kill(c *cluster, end time.Time, rng *rand.Rand) {
	for time.Now().Before(end) {
		time.Sleep(s.kind.interval + time.Duration(rng.Int64N(int64(s.kind.jitter))))
		order := rng.Perm(len(c.members))
		victims, stopped := order[:s.kind.victims], order[s.kind.victims:][:s.kind.plannedStops]
		var stops sync.WaitGroup
		for _, n := range stopped {
			l := c.ledgers[c.members[n].ID]
			stops.Go(func() { stopPlanned(l) })
		}
		for _, n := range victims {
			s.setDead(c.members[n].ID, true)
			c.lose(c.members[n].ID)
		}
		time.Sleep(time.Second)
		for _, n := range victims {
			s.mu.Lock()
			c.start(c.members[n])
			s.mu.Unlock()
			s.setDead(c.members[n].ID, false)
		}
		stops.Wait()
		for _, n := range stopped {
			s.mu.Lock()
			c.start(c.members[n])
			s.mu.Unlock()
		}
	}
}

// stopLimit is shorter than the longest outage of the stores.
const stopLimit = 15 * time.Second

// stopPlanned closes a node. Bills that it reports as safe until it is closed count.
func stopPlanned(l *Ledger) {
	ctx, cancel := context.WithTimeout(context.Background(), stopLimit)
	defer cancel()
	_ = l.Close(ctx) // the error reports the bills that it leaves to others
}

func (s *storm) setDead(id string, dead bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.dead[id] = dead
	if dead {
		s.killed++
	}
}

func (s *storm) breakStores(c *cluster, end time.Time, rng *rand.Rand) {
	for time.Now().Before(end) {
		faults := []fault.Fault{{}, {Down: true}, {OneWay: true}, {DelayMS: 1000}, {LoseAckFraction: 0.5}, {RefuseFraction: 0.5}, {Down: true}}
		table, objects := faults[rng.IntN(len(faults))], faults[rng.IntN(len(faults))]
		c.setFaults(fault.Change{Table: &table, Objects: &objects})
		time.Sleep(time.Duration(rng.Int64N(int64(20 * time.Second))))
	}
}
