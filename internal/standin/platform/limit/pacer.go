package limit

import "time"

const (
	// chunkDuration is the time that one chunk takes at the pacer's rate.
	chunkDuration = 50 * time.Millisecond
	// minChunk and maxChunk bound a chunk, in bytes.
	minChunk = 1 << 10
	maxChunk = 1 << 20
)

// Pacer shares a byte rate between downloads. Each download reserves one chunk at a
// time; chunks are sent one after another in the order of their reservations. A
// Pacer is not safe for concurrent use.
type Pacer struct {
	// rate is in bytes per second; 0 means no limit.
	rate int64
	// nextFree is when all reserved bytes have been sent.
	nextFree time.Time
}

// NewPacer returns a pacer with a rate in bytes per second; 0 means no limit.
func NewPacer(rate int64) *Pacer { return &Pacer{rate: rate} }

// Rate returns the rate in bytes per second; 0 means no limit.
func (p *Pacer) Rate() int64 { return p.rate }

// SetRate changes the rate, in bytes per second, for chunks that are not yet reserved.
func (p *Pacer) SetRate(rate int64) { p.rate = rate }

// Chunk returns how many bytes to reserve at a time: the bytes that the rate allows
// in 50 ms, but at least 1 KiB and at most 1 MiB.
func (p *Pacer) Chunk() int64 {
	if p.rate == 0 {
		return maxChunk
	}
	return min(max(p.rate/int64(time.Second/chunkDuration), minChunk), maxChunk)
}

// Reserve reserves the next n bytes and returns the time until they have been sent.
func (p *Pacer) Reserve(n int64, now time.Time) time.Duration {
	if p.rate == 0 {
		return 0
	}
	if p.nextFree.Before(now) {
		p.nextFree = now
	}
	seconds := float64(n) / float64(p.rate)
	p.nextFree = p.nextFree.Add(time.Duration(seconds * float64(time.Second)))
	return p.nextFree.Sub(now)
}
