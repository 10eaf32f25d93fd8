package sim

import (
	"math/rand/v2"
	"time"
)

const (
	// segmentSize is the maximum payload of a segment in bytes. It is small enough
	// that connections share a link fairly, and large enough that a megabyte takes
	// only about a hundred events.
	segmentSize = 8 << 10
	// retransmitDelay is the delay of a lost segment: TCP's minimum retransmission
	// timeout.
	retransmitDelay = 200 * time.Millisecond
)

// link is one direction of a host's connection to the network. It transmits
// segments one at a time, first in, first out.
type link struct {
	// bytesPerSecond is the bandwidth; 0 means unlimited.
	bytesPerSecond float64
	// freeAt is when the transmission of the last queued segment ends.
	freeAt time.Time
	// bytesSent counts the bytes of all queued segments, with headers.
	bytesSent int64
}

// transmit queues a segment and returns when its transmission ends.
func (l *link) transmit(now time.Time, bytes int) time.Time {
	l.bytesSent += int64(bytes)
	if l.freeAt.Before(now) {
		l.freeAt = now
	}
	if l.bytesPerSecond > 0 {
		l.freeAt = l.freeAt.Add(time.Duration(float64(bytes) / l.bytesPerSecond * float64(time.Second)))
	}
	return l.freeAt
}

// isLost draws whether a segment is lost and has to be retransmitted.
func isLost(random *rand.Rand, share float64) bool { return share > 0 && random.Float64() < share }
