package pacing

import (
	"time"

	"golang.org/x/time/rate"
)

// Bound limits the requests that an upstream receives from all nodes together.
type Bound struct {
	// Rate is the sustained rate in requests per second; 0 for no bound.
	Rate float64
	// MaxArrivals is the maximum number of requests that arrive within any Window.
	MaxArrivals float64
	Window      time.Duration
}

const (
	// burstDivisor divides the arrivals that a window allows beyond the sustained rate. One
	// half is for the senders' bursts. The other half is for nodes with an outdated member
	// list, which still send although others now send in their place.
	burstDivisor = 2
	// maxSenders is the maximum number of nodes that share an upstream's rate.
	maxSenders = 16
)

// steadyArrivals returns the number of requests that the rate allows within a window.
func (b *Bound) steadyArrivals() float64 { return b.Rate * b.Window.Seconds() }

// totalBurst returns the number of requests that all senders together may send at once, in
// addition to the steady arrivals.
func (b *Bound) totalBurst() float64 {
	return max((b.MaxArrivals-b.steadyArrivals())/burstDivisor, 1)
}

// senderCount returns the number of nodes that share an upstream's rate.
func (b *Bound) senderCount() int { return int(min(b.totalBurst(), maxSenders)) }

// burstPerSender returns the number of requests that each sender may send at once. It does
// not grow when there are few senders: a node that joins starts to send before the others
// know of it.
func (b *Bound) burstPerSender() int { return max(int(b.totalBurst())/maxSenders, 1) }

// ratePerSender returns the rate in requests per second of each of count senders, without
// its burst.
func (b *Bound) ratePerSender(count int) rate.Limit {
	maxRate := (b.MaxArrivals - float64(count*b.burstPerSender())) / b.Window.Seconds()
	return rate.Limit(max(min(b.Rate, maxRate), 0) / float64(count))
}
