package pacing

import (
	"time"

	"golang.org/x/time/rate"
)

// Bound is what an upstream bears from all nodes together.
type Bound struct {
	// Rate is how many requests a second it bears; 0 for no bound.
	Rate float64
	// Most is how many may arrive within any Window.
	Most   float64
	Window time.Duration
}

const (
	// senderSpare divides what may arrive within a window beyond the rate: one half is
	// for the bursts of those that send, the other for nodes that do not know yet that
	// others send in their place.
	senderSpare = 2
	// mostSenders bounds the nodes that share an upstream's rate.
	mostSenders = 16
)

// usual is how many requests the rate allows within a window.
func (b *Bound) usual() float64 { return b.Rate * b.Window.Seconds() }

// bursts is how many requests beside the usual ones all senders together may send at once.
func (b *Bound) bursts() float64 {
	return max((b.Most-b.usual())/senderSpare, 1)
}

// senderCount returns how many nodes share an upstream's rate.
func (b *Bound) senderCount() int { return int(min(b.bursts(), mostSenders)) }

// burst is how many requests each sender may send at once. It does not grow where there are
// few of them: a node that joins takes its part before the others know of it.
func (b *Bound) burst() int { return max(int(b.bursts())/mostSenders, 1) }

// perSender is how many requests a second each of some senders may send beside its burst.
func (b *Bound) perSender(count int) rate.Limit {
	most := (b.Most - float64(count*b.burst())) / b.Window.Seconds()
	return rate.Limit(max(min(b.Rate, most), 0) / float64(count))
}
