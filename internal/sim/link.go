package sim

import (
	"math/rand/v2"
	"time"
)

const (
	// segment is the most that one pass of a link carries: small enough that
	// connections which share a link take turns, large enough that a megabyte
	// is a hundred events.
	segment = 8 << 10
	// resend is how long a lost segment is late: TCP's least time-out.
	resend = 200 * time.Millisecond
)

// link is one direction of a host's connection to the network. Segments pass one
// after the other, in the order in which they come.
type link struct {
	// bytesPerSecond is the bandwidth; 0 for no bound.
	bytesPerSecond float64
	// free is when the last segment that was taken has passed.
	free time.Time
	// carried counts the bytes that have passed.
	carried int64
}

// pass takes a segment and returns when it has passed.
func (l *link) pass(now time.Time, bytes int) time.Time {
	l.carried += int64(bytes)
	if l.free.Before(now) {
		l.free = now
	}
	if l.bytesPerSecond > 0 {
		l.free = l.free.Add(time.Duration(float64(bytes) / l.bytesPerSecond * float64(time.Second)))
	}
	return l.free
}

// lost tells whether a segment is lost, and so late.
func lost(random *rand.Rand, share float64) bool { return share > 0 && random.Float64() < share }
