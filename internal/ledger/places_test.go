package ledger

import (
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/hickorybank/hickorybank/internal/ledger/bill"
	"github.com/hickorybank/hickorybank/internal/standin/platform/fault"
)

// The end of an answer waits until its bill is safe. Under each fault of the platform,
// every bill must still be stored safely. The test prints how long the bills took.
func TestBillsAreStoredUnderEachFault(t *testing.T) {
	healthy := fault.Fault{DelayMS: 10}
	down := fault.Fault{Down: true}
	slow := fault.Fault{DelayMS: 1000}
	hanging := fault.Fault{OneWay: true}
	for _, phase := range []struct {
		name           string
		table, objects fault.Fault
		place          bill.Safety // at least
	}{
		{"all is well", healthy, healthy, bill.InTable},
		{"table down", down, healthy, bill.InObjects},
		{"table slow, 1 s", slow, healthy, bill.InObjects},
		{"table hangs", hanging, healthy, bill.InObjects},
		{"table loses half of its answers", fault.Fault{DelayMS: 10, LoseAckFraction: 0.5}, healthy, bill.InObjects},
		{"table refuses half", fault.Fault{DelayMS: 10, RefuseFraction: 0.5}, healthy, bill.InObjects},
		{"both down", down, down, bill.InPeers},
		{"both slow, 1 s", slow, slow, bill.InPeers},
		{"both hang", hanging, hanging, bill.InPeers},
	} {
		inBubble(t, 8, func(is *is.I, c *cluster) {
			c.setFaults(fault.Change{Table: &healthy, Objects: &healthy})
			load := &placeLoad{c: c}
			load.run(2 * time.Second)
			load.waits, load.places = nil, [4]int{}
			c.setFaults(fault.Change{Table: &phase.table, Objects: &phase.objects})
			load.run(8 * time.Second)
			load.print(t, phase.name)
			for place := bill.Unsafe; place < phase.place; place++ {
				is.Equal(load.places[place], 0)
			}
			c.setFaults(fault.Change{Table: &healthy, Objects: &healthy})
			time.Sleep(time.Minute)
			is.Equal(len(c.allBills("e0")), load.sent)
		})
	}
}

// placeLoad sends bills at a steady rate from all nodes.
type placeLoad struct {
	c      *cluster
	sent   int
	mu     sync.Mutex
	waits  []time.Duration
	places [bill.InTable + 1]int
}

func (p *placeLoad) run(span time.Duration) {
	const perSecond = 100
	var wg sync.WaitGroup
	for i := range int(span.Seconds() * perSecond) {
		l := p.c.ledgers[p.c.members[i%len(p.c.members)].ID]
		p.sent++
		wg.Go(func() {
			began := time.Now()
			safety, _ := billIn(l, 10*time.Second, billOf(newKey(), 1))
			p.mu.Lock()
			defer p.mu.Unlock()
			p.waits = append(p.waits, time.Since(began))
			p.places[safety]++
		})
		time.Sleep(time.Second / perSecond)
	}
	wg.Wait()
}

func (p *placeLoad) print(t *testing.T, name string) {
	slices.Sort(p.waits)
	at := func(part float64) time.Duration { return p.waits[int(part*float64(len(p.waits)-1))] }
	t.Logf("%-32s p50 %v, p99 %v, worst %v; %d table, %d objects, %d peers, %d unsafe", name,
		at(0.5), at(0.99), at(1), p.places[bill.InTable], p.places[bill.InObjects], p.places[bill.InPeers], p.places[bill.Unsafe])
}
