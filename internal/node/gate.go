package node

import (
	"context"
	"sync"
	"time"

	"github.com/hickorybank/hickorybank/internal/admission"
	"github.com/hickorybank/hickorybank/internal/config"
	"github.com/hickorybank/hickorybank/internal/event"
	"github.com/hickorybank/hickorybank/internal/request"
)

const queueCheckInterval = 20 * time.Millisecond

// gate owns this node's admission queue, retry budget and organisations' rate limits.
type gate struct {
	mu      sync.Mutex
	queue   *admission.Queue
	budget  *admission.RetryBudget
	limiter *admission.RateLimiter
	waiting map[string]chan admission.Decision // by request ID
	// wakeUp wakes the goroutine that expires wakeUp requests; an idle gate needs no ticker.
	wakeUp chan struct{}
}

func newGate(s Settings) *gate {
	return &gate{
		queue:   admission.New(admission.Settings{}),
		budget:  admission.NewRetryBudget(admission.RetrySettings{}),
		limiter: admission.NewRateLimiter(admission.RateSettings{Self: s.ID}),
		waiting: map[string]chan admission.Decision{},
		wakeUp:  make(chan struct{}, 1),
	}
}

func (g *gate) setSnapshot(s *config.Snapshot, limits []admission.Limit) {
	g.setLimits(limits)
	g.mu.Lock()
	defer g.mu.Unlock()
	g.queue.SetDeferDeferrable(s.Preset().DeferDeferrable)
}

func (g *gate) setLimits(limits []admission.Limit) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.limiter.SetLimits(limits, time.Now())
}

func (g *gate) summaries(now time.Time) []admission.Summary {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.limiter.Summaries(now)
}

func (g *gate) granted(grant admission.Grant) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.limiter.ApplyGrant(grant, time.Now())
}

// setNodes sets the IDs of the live entry nodes and of those in this failure domain.
func (g *gate) setNodes(ids, domain []string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.limiter.SetNodes(ids, time.Now())
	g.limiter.SetDomain(domain)
}

// checkRate counts one request against the organisation's checkRate limit, or refuses it.
func (g *gate) checkRate(org string) *request.Failure {
	g.mu.Lock()
	defer g.mu.Unlock()
	after, ok := g.limiter.Allow(org, time.Now())
	if ok {
		return nil
	}
	return request.Refuse(request.CodeRateLimited, after, "the organisation's limit of requests a second is reached")
}

// enter waits until the request may run. It returns a refusal as soon as it is decided.
func (g *gate) enter(ctx context.Context, r admission.Request) *request.Failure {
	decided := make(chan admission.Decision, 1)
	g.mu.Lock()
	r.Now = time.Now()
	g.budget.CountFirst(r.Now)
	d := g.queue.Offer(r)
	if d.Verdict == admission.Queued {
		g.waiting[r.ID] = decided
		g.wake()
	}
	g.mu.Unlock()
	if d.Verdict == admission.Queued {
		d = g.wait(ctx, r, decided)
	}
	if d.Verdict == admission.Run {
		return nil
	}
	return request.Refuse(d.Code, d.RetryAfter, "too much work is waiting")
}

func (g *gate) wait(ctx context.Context, r admission.Request, decided chan admission.Decision) admission.Decision {
	select {
	case d := <-decided:
		return d
	case <-ctx.Done():
		return g.abandon(r, decided)
	}
}

// abandon removes a request whose context has ended from the queue. If it was admitted at the
// same moment, its slot must be released, or it would be lost.
func (g *gate) abandon(r admission.Request, decided chan admission.Decision) admission.Decision {
	g.mu.Lock()
	delete(g.waiting, r.ID)
	g.queue.Cancel(r.ID, time.Now())
	g.deliver(g.queue.Next(time.Now()))
	g.mu.Unlock()
	select {
	case d := <-decided:
		if d.Verdict == admission.Refused {
			return d
		}
	default:
	}
	return admission.Decision{ID: r.ID, Verdict: admission.Refused, Code: request.CodeDeadline, RetryAfter: retrySoon}
}

// leave releases the request's slot and admits queued requests.
func (g *gate) leave(id string, s admission.Sample) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	g.queue.Finish(id, s, now)
	g.deliver(g.queue.Next(now))
}

func (g *gate) deliver(decisions []admission.Decision) {
	for _, d := range decisions {
		decided, ok := g.waiting[d.ID]
		if !ok {
			continue
		}
		delete(g.waiting, d.ID)
		decided <- d // never blocks: buffered for the only decision
	}
}

func (n *Node) retryAllowed() bool {
	if n.gate.retryAllowed() {
		return true
	}
	if n.retryBudgetLog.allow(time.Now()) {
		event.RetryBudgetSpent.Log(n.deps.Log)
	}
	return false
}

func (g *gate) retryAllowed() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.budget.Allow(time.Now())
}

func (g *gate) wake() {
	select {
	case g.wakeUp <- struct{}{}:
	default: // a wake-up is already pending
	}
}

// expireQueued refuses queued requests that can no longer meet their deadline, until ctx ends.
func (g *gate) expireQueued(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-g.wakeUp:
			g.expireUntilEmpty(ctx)
		}
	}
}

// expireUntilEmpty checks the queue periodically until it is empty.
func (g *gate) expireUntilEmpty(ctx context.Context) {
	ticker := time.NewTicker(queueCheckInterval)
	defer ticker.Stop()
	for g.tick(time.Now()) {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// tick applies the decisions that are due and reports whether requests are still queued.
func (g *gate) tick(now time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	at, waiting := g.queue.Wake()
	if waiting && !now.Before(at) {
		g.deliver(g.queue.Next(now))
		_, waiting = g.queue.Wake()
	}
	return waiting
}
