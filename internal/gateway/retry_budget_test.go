package gateway

import (
	"fmt"
	"log/slog"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hickorybank/hickorybank/internal/gossip"
	"github.com/hickorybank/hickorybank/internal/telemetry"
)

// budgetFleet are nodes that spend all of their retry budget.
type budgetFleet struct {
	nodes []*Node
	// attempts and requests are when further attempts and requests were sent.
	attempts, requests []time.Time
}

const (
	budgetRatio  = 0.9
	budgetSlack  = 52.0
	budgetWindow = 10 * time.Second
)

// start starts all nodes, which know of each other after a moment.
func (f *budgetFleet) start(count int) {
	f.nodes = nil
	var members []gossip.Member
	for i := range count {
		id := fmt.Sprint("n", i)
		n := New(Settings{ID: id, RetryRatio: budgetRatio, RetrySlack: budgetSlack, RetryWindow: budgetWindow}, Deps{Log: slog.New(slog.DiscardHandler), Metrics: telemetry.New(telemetry.Bounds{})})
		n.roster.SetSelf(true, false)
		members = append(members, n.roster.Self())
		f.nodes = append(f.nodes, n)
	}
	all := f.nodes
	time.AfterFunc(300*time.Millisecond, func() {
		for _, n := range all {
			n.mu.Lock()
			n.roster.Merge(members, time.Now())
			n.mu.Unlock()
		}
	})
}

// request lets a node serve a request that fails at each of its upstreams.
func (f *budgetFleet) request(n *Node) {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := time.Now()
	b := n.budget("service", now)
	b.Request(now)
	f.requests = append(f.requests, now)
	for range 4 {
		if b.Allow(now, 0) {
			f.attempts = append(f.attempts, now)
		}
	}
}

// Fails if nodes spend the slack of the retry budget again after each loss of all of them.
func TestRetryBudgetHoldsOverLossesOfAllNodes(t *testing.T) {
	for _, perSecond := range []int{6, 30, 120} {
		for _, lossEvery := range []time.Duration{time.Hour, 6 * time.Second, 2 * time.Second} {
			t.Run(fmt.Sprintf("%d requests a second, lost each %v", perSecond, lossEvery), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					f := &budgetFleet{}
					f.start(6)
					started := time.Now()
					for i := range 40 * perSecond {
						if time.Since(started) >= lossEvery {
							started = time.Now()
							f.start(6)
						}
						f.request(f.nodes[i%len(f.nodes)])
						time.Sleep(time.Second / time.Duration(perSecond))
					}
					f.check(t)
				})
			})
		}
	}
}

// check checks each window that ends with an attempt. Its requests are those of the rule: of the window,
// the one before it, or the one half a window before it.
func (f *budgetFleet) check(t *testing.T) {
	t.Helper()
	count := func(all []time.Time, after, until time.Time) (n float64) {
		for _, at := range all {
			if at.After(after) && !at.After(until) {
				n++
			}
		}
		return n
	}
	worst := -budgetSlack
	for _, end := range f.attempts {
		requests := 0.0
		for _, back := range []time.Duration{0, budgetWindow / 2, budgetWindow} {
			requests = max(requests, count(f.requests, end.Add(-back-budgetWindow), end.Add(-back)))
		}
		worst = max(worst, count(f.attempts, end.Add(-budgetWindow), end)-budgetRatio*requests-budgetSlack)
	}
	t.Logf("%d further attempts for %d requests, %.0f over the bound at the worst", len(f.attempts), len(f.requests), worst)
	if worst > 0 {
		t.Errorf("%.0f attempts over the bound of %.1f for each request and %.0f", worst, budgetRatio, budgetSlack)
	}
}
