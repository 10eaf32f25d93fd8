package limit

import "time"

// Peak counts calls and keeps the most in one second of the clock.
type Peak struct {
	second int64
	count  uint64
	peak   uint64
	total  uint64
}

// Add counts one call.
func (p *Peak) Add(now time.Time) {
	if second := now.Unix(); second != p.second {
		p.second = second
		p.count = 0
	}
	p.count++
	p.total++
	p.peak = max(p.peak, p.count)
}

// Total returns how many calls were counted.
func (p *Peak) Total() uint64 { return p.total }

// Peak returns the most calls in one second of the clock.
func (p *Peak) Peak() uint64 { return p.peak }
