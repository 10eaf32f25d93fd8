package admission

import "time"

// WindowBudget limits further attempts to a fraction of the requests in a sliding window,
// plus a fixed number.
//
// Like [RetryBudget] it keeps attempts from multiplying an overload, but the bound
// applies to a window and is shared by many nodes. Each node has its own part of the
// bound, and the parts add up to the whole. A token bucket with a small depth would deny
// single attempts at a node with few requests, although the window as a whole allows
// them.
type WindowBudget struct {
	settings  WindowSettings
	intervals [windowIntervals + 1]windowInterval
}

// WindowSettings configures a [WindowBudget].
type WindowSettings struct {
	// Ratio is how many further attempts each request allows.
	Ratio float64
	// Slack is how many attempts are allowed in addition.
	Slack float64
	// Window is the duration over which requests and attempts are counted.
	Window time.Duration
}

// windowIntervals is how many intervals make up the window. Attempts count until their
// interval has left the window completely, and requests only while theirs is completely
// inside it. So the bound applies to every span of the window's length.
const windowIntervals = 20

type windowInterval struct {
	number   int64
	requests float64
	attempts float64
}

// NewWindowBudget returns an unused budget.
func NewWindowBudget(s WindowSettings) *WindowBudget { return &WindowBudget{settings: s} }

// SetSlack changes this node's part of the shared slack.
func (b *WindowBudget) SetSlack(slack float64) { b.settings.Slack = slack }

// Request counts a request.
func (b *WindowBudget) Request(now time.Time) { b.interval(now).requests++ }

// Allow takes one further attempt and reports whether the budget allows it. reserve is
// the fraction of the budget, from 0 to 1, that is kept for other attempts.
func (b *WindowBudget) Allow(now time.Time, reserve float64) bool {
	requests, attempts := b.sums(now)
	if attempts+1 > (1-reserve)*(b.settings.Ratio*requests+b.settings.Slack) {
		return false
	}
	b.interval(now).attempts++
	return true
}

// Left returns how many further attempts the budget allows now.
func (b *WindowBudget) Left(now time.Time) float64 {
	requests, attempts := b.sums(now)
	return max(b.settings.Ratio*requests+b.settings.Slack-attempts, 0)
}

func (b *WindowBudget) sums(now time.Time) (requests, attempts float64) {
	newest := b.intervalNumber(now)
	for _, s := range b.intervals {
		age := newest - s.number
		if s.number == 0 || age > windowIntervals {
			continue
		}
		attempts += s.attempts
		if age < windowIntervals {
			requests += s.requests
		}
	}
	return requests, attempts
}

func (b *WindowBudget) interval(now time.Time) *windowInterval {
	number := b.intervalNumber(now)
	s := &b.intervals[number%int64(len(b.intervals))]
	if s.number != number {
		*s = windowInterval{number: number}
	}
	return s
}

func (b *WindowBudget) intervalNumber(now time.Time) int64 {
	return now.UnixNano()/max(int64(b.settings.Window)/windowIntervals, 1) + 1
}
