package limit

import "time"

// Bounds of a chunk.
const (
	chunkTime = 50 * time.Millisecond
	minChunk  = 1 << 10
	maxChunk  = 1 << 20
)

// Pacer shares a rate of bytes between downloads: each asks for a chunk at a
// time, and the chunks go out one after another in the order of asking.
type Pacer struct {
	rate int64
	free time.Time
}

// NewPacer returns a pacer of a rate in bytes a second; 0 means no limit.
func NewPacer(rate int64) *Pacer { return &Pacer{rate: rate} }

// Rate returns the rate in bytes a second; 0 means no limit.
func (p *Pacer) Rate() int64 { return p.rate }

// SetRate changes the rate for the chunks not yet reserved.
func (p *Pacer) SetRate(rate int64) { p.rate = rate }

// Chunk returns how many bytes to reserve at a time: what the rate gives in a
// twentieth of a second, within bounds.
func (p *Pacer) Chunk() int64 {
	if p.rate == 0 {
		return maxChunk
	}
	return min(max(p.rate/int64(time.Second/chunkTime), minChunk), maxChunk)
}

// Reserve takes the next n bytes and returns how long to wait until they have
// gone out.
func (p *Pacer) Reserve(n int64, now time.Time) time.Duration {
	if p.rate == 0 {
		return 0
	}
	if p.free.Before(now) {
		p.free = now
	}
	seconds := float64(n) / float64(p.rate)
	p.free = p.free.Add(time.Duration(seconds * float64(time.Second)))
	return p.free.Sub(now)
}
