package balance

import (
	"time"

	"github.com/hickorybank/hickorybank/internal/platform"
)

const (
	// pollTimeout is how long an answer is waited for before asking again.
	pollTimeout = 2 * time.Second
	// pollBurst bounds the polls asked for at one time.
	pollBurst = 4
	// searchShare is the part of the polls that may look for versions beyond
	// the subset: 1 of 4.
	searchShare = 4
)

// pollState is when an upstream was last asked for its load.
type pollState struct {
	asked   time.Duration
	waiting bool
}

func (p *pollState) answered(time.Duration) { p.waiting = false }

// polls bounds the load reports that are asked for.
type polls struct {
	credit float64
	filled time.Duration
	count  uint64
	next   int // in the search beyond the subset
}

// fill adds what time has earned.
func (p *polls) fill(now time.Duration, perSecond float64) {
	p.credit = min(pollBurst, p.credit+perSecond*(now-p.filled).Seconds())
	p.filled = now
}

// NeedPoll returns the upstreams whose load is to be asked for now. Call it
// several times a second; it keeps to Settings.PollsPerSecond.
func (b *Balancer) NeedPoll(now time.Time) []platform.VM {
	t := b.since(now)
	b.maintain(t)
	b.polls.fill(t, b.settings.PollsPerSecond)
	var due []platform.VM
	for b.polls.credit >= 1 {
		vm, ok := b.nextPoll(t)
		if !ok {
			return due
		}
		b.polls.credit--
		b.polls.count++
		due = append(due, vm)
	}
	return due
}

func (b *Balancer) nextPoll(now time.Duration) (platform.VM, bool) {
	if b.polls.count%searchShare == 0 && len(b.rest) > 0 && b.searching(now) {
		b.polls.next++
		return *b.rest[b.polls.next%len(b.rest)].vm, true
	}
	h := b.stalest(now)
	if h == nil {
		return platform.VM{}, false
	}
	h.poll.asked = now
	h.poll.waiting = true
	return h.vm, true
}

// stalest returns the upstream that has gone unasked for longest, or nil when
// all were asked a moment ago.
func (b *Balancer) stalest(now time.Duration) *host {
	var best *host
	for _, h := range b.order {
		if h.poll.waiting && now < h.poll.asked+pollTimeout {
			continue
		}
		if best == nil || h.poll.asked < best.poll.asked {
			best = h
		}
	}
	if best != nil && now < best.poll.asked+pollLeastGap {
		return nil
	}
	return best
}

// pollLeastGap is the shortest time between two polls of one upstream.
const pollLeastGap = time.Second
