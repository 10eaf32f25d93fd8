package ledger

import (
	"errors"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/hickorybank/hickorybank/internal/platform"
	"github.com/hickorybank/hickorybank/internal/standin/platform/fault"
)

// Fails if a node admits work whose bill it cannot make safe: cut off from the
// stores and from peers, it must be unready before its first bill is reported as unsafe, and
// ready again once that bill is stored.
func TestNodeIsUnreadyBeforeABillIsUnsafe(t *testing.T) {
	for _, f := range []struct {
		name  string
		fault fault.Fault
	}{{"stores hang", fault.Fault{OneWay: true}}, {"stores are down", fault.Fault{Down: true}}} {
		t.Run(f.name, func(t *testing.T) {
			inBubble(t, 1, func(is *is.I, c *cluster) {
				l := c.ledgers["e0"]
				c.setFaults(fault.Change{Table: &f.fault, Objects: &f.fault})
				done := make(chan error, 1)
				go func() {
					_, err := billIn(l, 15*time.Second, billOf(newKey(), 1))
					done <- err
				}()
				time.Sleep(giveUp - 500*time.Millisecond)
				is.Equal(len(done), 0) // the bill is not reported yet
				is.True(!l.Ready())
				is.True(errors.Is(<-done, ErrUnsafe))
				time.Sleep(10 * time.Second)
				is.True(!l.Ready()) // as long as the bill is not safe
				c.storeDown(false)
				time.Sleep(5 * time.Second)
				is.True(l.Ready())
				is.Equal(len(c.allBills("e0")), 1)
			})
		})
	}
}

// Fails if a node refuses work although its bills become safe, only later: both
// stores take a second, and no peer takes copies.
func TestSlowStoresLeaveNodeReady(t *testing.T) {
	inBubble(t, 1, func(is *is.I, c *cluster) {
		l := c.ledgers["e0"]
		slow := fault.Fault{DelayMS: 1000}
		c.setFaults(fault.Change{Table: &slow, Objects: &slow})
		for range 10 {
			safe := make(chan error, 1)
			go func() {
				_, err := billIn(l, 15*time.Second, billOf(newKey(), 1))
				safe <- err
			}()
			for len(safe) == 0 {
				is.True(l.Ready())
				time.Sleep(20 * time.Millisecond)
			}
			is.NoErr(<-safe)
		}
	})
}

// Fails if a node that is cut off from the platform alone refuses work or reports bills as
// unsafe, although another node of its failure domain can store them.
func TestBillsOfNodeWithoutPlatformAreStoredByPeers(t *testing.T) {
	inBubble(t, 12, func(is *is.I, c *cluster) {
		c.keepDomain("d0")
		l := c.ledgers["e0"]
		c.cutOff["e0"].Store(true)
		const bills = 200
		var wg sync.WaitGroup
		for range bills {
			wg.Go(func() {
				_, err := billIn(l, 15*time.Second, billOf(newKey(), 1))
				is.NoErr(err)
			})
			time.Sleep(100 * time.Millisecond)
			is.True(l.Ready())
		}
		wg.Wait()
		is.Equal(len(c.allBills("e4")), bills)
		c.cutOff["e0"].Store(false)
		time.Sleep(10 * time.Second)
		is.Equal(l.Stats().Waiting, 0) // its own stores have what the peers stored
		is.Equal(len(c.allBills("e0")), bills)
	})
}

// Fails if nodes that cannot make bills safe pass them on to each other: each would hold a
// growing number of copies.
func TestNodesWithoutStoresKeepBillsToThemselves(t *testing.T) {
	inBubble(t, 12, func(is *is.I, c *cluster) {
		nodes := c.keepDomain("d0")
		c.storeDown(true)
		const bills = 21
		var wg sync.WaitGroup
		for i := range bills {
			wg.Go(func() {
				_, err := billIn(nodes[i%len(nodes)], 15*time.Second, billOf(newKey(), 1))
				is.True(errors.Is(err, ErrUnsafe))
			})
		}
		wg.Wait()
		waiting := func() int {
			sum := 0
			for _, l := range nodes {
				is.True(!l.Ready())
				sum += l.Stats().Waiting
			}
			return sum
		}
		time.Sleep(10 * time.Second)
		before := waiting()
		is.True(before <= bills*(maxCandidates+1)) // each collector that was asked has a copy
		time.Sleep(5 * time.Minute)
		is.Equal(waiting(), before)
		c.storeDown(false)
		time.Sleep(10 * time.Second)
		for _, l := range nodes {
			is.True(l.Ready())
		}
		is.Equal(len(c.allBills("e0")), bills)
	})
}

// keepDomain removes the nodes of all other failure domains from the members and returns the
// ledgers of those that are left.
func (c *cluster) keepDomain(domain string) []*Ledger {
	defer time.Sleep(2 * maxViewAge) // until the nodes use these members
	c.mu.Lock()
	defer c.mu.Unlock()
	var members []platform.VM
	var ledgers []*Ledger
	for _, vm := range c.members {
		if vm.FailureDomain == domain {
			members = append(members, vm)
			ledgers = append(ledgers, c.ledgers[vm.ID])
		}
	}
	c.members = members
	return ledgers
}

// Fails if bills wait behind one another: at a node that is cut off from all, each
// is reported within the time that a request waits for its bill, however many there are.
func TestBillsOfACutOffNodeAreReportedInTime(t *testing.T) {
	const requestWait = 15 * time.Second
	for _, nodes := range []int{1, 3} {
		inBubble(t, nodes, func(is *is.I, c *cluster) {
			c.joinDomains()
			hanging := fault.Fault{OneWay: true}
			c.setFaults(fault.Change{Table: &hanging, Objects: &hanging})
			for _, vm := range c.view()[1:] {
				c.fabric.mu.Lock()
				c.fabric.frozen[vm.Peer] = make(chan struct{})
				c.fabric.mu.Unlock()
			}
			waits := make([]time.Duration, 200)
			var wg sync.WaitGroup
			for i := range waits {
				wg.Go(func() {
					began := time.Now()
					_, err := billIn(c.ledgers["e0"], time.Hour, billOf(newKey(), 1))
					waits[i] = time.Since(began)
					is.True(errors.Is(err, ErrUnsafe))
				})
				time.Sleep(100 * time.Millisecond)
			}
			wg.Wait()
			t.Logf("%d nodes: the last bill was reported after %v", nodes, slices.Max(waits))
			is.True(slices.Max(waits) < requestWait)
		})
	}
}

// joinDomains moves all nodes to one failure domain, so that no peer may hold copies.
func (c *cluster) joinDomains() {
	c.mu.Lock()
	defer c.mu.Unlock()
	members := slices.Clone(c.members)
	for i := range members {
		members[i].FailureDomain = "d0"
	}
	c.members = members
}

// Fails if a node that could not store offered bills declines further ones for good: once its
// stores are back, it must take those of a node that is still cut off.
func TestOffersAreTakenAgainOnceStoresAreBack(t *testing.T) {
	inBubble(t, 12, func(is *is.I, c *cluster) {
		c.keepDomain("d0")
		l := c.ledgers["e0"]
		c.cutOff["e0"].Store(true)
		c.storeDown(true)
		_, err := billIn(l, 15*time.Second, billOf(newKey(), 1))
		is.True(errors.Is(err, ErrUnsafe))
		time.Sleep(30 * time.Second)
		is.True(!l.Ready())
		c.storeDown(false)
		time.Sleep(10 * time.Second)
		is.True(l.Ready())
		is.Equal(len(c.allBills("e4")), 1)
	})
}
