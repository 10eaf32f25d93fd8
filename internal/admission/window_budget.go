package admission

import "time"

// WindowBudget allows further attempts as a share of the requests of a sliding
// window, and a number beyond.
//
// It guards against attempts that multiply an overload, as [RetryBudget] does,
// where the bound is given over a window and shared by many nodes. Each node
// then holds its own part of it, and the parts add up to the whole. A bucket
// that saves little up would turn away single attempts at a node with few
// requests, although the window as a whole allows them.
type WindowBudget struct {
	settings WindowSettings
	slots    [windowSlots + 1]windowSlot
}

// WindowSettings configure a [WindowBudget].
type WindowSettings struct {
	// Ratio is how many further attempts each request allows.
	Ratio float64
	// Slack is how many are allowed beyond.
	Slack float64
	// Window is the span over which both are counted.
	Window time.Duration
}

// windowSlots is how finely the window slides. A slot counts until it has left
// the window whole, for attempts, and only while it is whole in it, for
// requests: the bound then holds for every span.
const windowSlots = 20

type windowSlot struct {
	number   int64
	requests float64
	attempts float64
}

// NewWindowBudget returns an unused budget.
func NewWindowBudget(s WindowSettings) *WindowBudget { return &WindowBudget{settings: s} }

// SetSlack takes another part of the shared slack.
func (b *WindowBudget) SetSlack(slack float64) { b.settings.Slack = slack }

// Request counts a request.
func (b *WindowBudget) Request(now time.Time) { b.slot(now).requests++ }

// Allow takes one further attempt, or says that there is none. reserve is the
// part of the budget, 0 to 1, that is to stay for others.
func (b *WindowBudget) Allow(now time.Time, reserve float64) bool {
	requests, attempts := b.sums(now)
	if attempts+1 > (1-reserve)*(b.settings.Ratio*requests+b.settings.Slack) {
		return false
	}
	b.slot(now).attempts++
	return true
}

func (b *WindowBudget) sums(now time.Time) (requests, attempts float64) {
	newest := b.number(now)
	for _, s := range b.slots {
		age := newest - s.number
		if s.number == 0 || age > windowSlots {
			continue
		}
		attempts += s.attempts
		if age < windowSlots {
			requests += s.requests
		}
	}
	return requests, attempts
}

func (b *WindowBudget) slot(now time.Time) *windowSlot {
	number := b.number(now)
	s := &b.slots[number%int64(len(b.slots))]
	if s.number != number {
		*s = windowSlot{number: number}
	}
	return s
}

func (b *WindowBudget) number(now time.Time) int64 {
	return now.UnixNano()/max(int64(b.settings.Window)/windowSlots, 1) + 1
}
