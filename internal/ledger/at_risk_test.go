package ledger

import (
	"errors"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

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

// Fails if bills wait behind one another: at a node that is cut off from all, each
// is reported within the time that a request waits for its bill, however many there are.
func TestBillsOfACutOffNodeAreReportedInTime(t *testing.T) {
	const requestWait = 15 * time.Second
	for _, nodes := range []int{1, 3} {
		inBubble(t, nodes, func(is *is.I, c *cluster) {
			for i := range c.members {
				c.members[i].FailureDomain = "d0"
			}
			hanging := fault.Fault{OneWay: true}
			c.setFaults(fault.Change{Table: &hanging, Objects: &hanging})
			for _, vm := range c.members[1:] {
				c.fabric.mu.Lock()
				c.fabric.frozen[vm.Peer] = make(chan struct{})
				c.fabric.mu.Unlock()
			}
			var worst atomic.Int64
			var wg sync.WaitGroup
			for range 200 {
				wg.Go(func() {
					began := time.Now()
					_, err := billIn(c.ledgers["e0"], time.Hour, billOf(newKey(), 1))
					is.True(errors.Is(err, ErrUnsafe))
					worst.Store(max(worst.Load(), int64(time.Since(began))))
				})
				time.Sleep(100 * time.Millisecond)
			}
			wg.Wait()
			t.Logf("%d nodes: the last bill was reported after %v", nodes, time.Duration(worst.Load()))
			is.True(time.Duration(worst.Load()) < requestWait)
		})
	}
}
