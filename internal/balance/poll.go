package balance

import (
	"time"

	"github.com/hickorybank/hickorybank/internal/platform"
)

const (
	// pollTimeout is how long to wait for an answer before polling again.
	pollTimeout = 2 * time.Second
	// pollBurst bounds the polls returned by one call.
	pollBurst = 4
	// searchPollInterval lets one poll of 4 search for versions outside the subset.
	searchPollInterval = 4
)

// pollState records when an upstream was last polled for its load.
type pollState struct {
	askedAt  time.Duration
	awaiting bool
}

func (p *pollState) answered(time.Duration) { p.awaiting = false }

// polls is a token bucket that limits the polls for load reports.
type polls struct {
	credit      float64
	refilledAt  time.Duration
	sent        uint64
	searchIndex int // position in the search outside the subset
}

// refill adds the polls allowed since the last call.
func (p *polls) refill(now time.Duration, perSecond float64) {
	p.credit = min(pollBurst, p.credit+perSecond*(now-p.refilledAt).Seconds())
	p.refilledAt = now
}

// NeedPoll returns the upstreams to poll for their load now. Call it several times a
// second; Settings.PollsPerSecond bounds the result.
func (b *Balancer) NeedPoll(now time.Time) []platform.VM {
	t := b.since(now)
	b.maintain(t)
	b.polls.refill(t, b.settings.PollsPerSecond)
	var due []platform.VM
	for b.polls.credit >= 1 {
		vm, ok := b.nextPoll(t)
		if !ok {
			return due
		}
		b.polls.credit--
		b.polls.sent++
		due = append(due, vm)
	}
	return due
}

func (b *Balancer) nextPoll(now time.Duration) (platform.VM, bool) {
	if b.polls.sent%searchPollInterval == 0 && len(b.unselected) > 0 && b.needsSearch(now) {
		b.polls.searchIndex++
		return *b.unselected[b.polls.searchIndex%len(b.unselected)].vm, true
	}
	h := b.stalest(now)
	if h == nil {
		return platform.VM{}, false
	}
	h.poll.askedAt = now
	h.poll.awaiting = true
	return h.vm, true
}

// stalest returns the upstream that was polled longest ago, or nil when all were polled
// within minPollInterval.
func (b *Balancer) stalest(now time.Duration) *host {
	var best *host
	for _, h := range b.order {
		if h.poll.awaiting && now < h.poll.askedAt+pollTimeout {
			continue
		}
		if best == nil || h.poll.askedAt < best.poll.askedAt {
			best = h
		}
	}
	if best != nil && now < best.poll.askedAt+minPollInterval {
		return nil
	}
	return best
}

// minPollInterval is the shortest time between two polls of one upstream.
const minPollInterval = time.Second
