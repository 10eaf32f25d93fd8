package limit

import "time"

// CallCounter counts calls in total and the highest count within one clock second. It is not
// safe for concurrent use.
type CallCounter struct {
	second int64
	count  uint64
	peak   uint64
	total  uint64
}

// Add counts one call.
func (p *CallCounter) Add(now time.Time) {
	if second := now.Unix(); second != p.second {
		p.second = second
		p.count = 0
	}
	p.count++
	p.total++
	p.peak = max(p.peak, p.count)
}

// Total returns the number of calls since the start.
func (p *CallCounter) Total() uint64 { return p.total }

// Peak returns the highest number of calls within one clock second.
func (p *CallCounter) Peak() uint64 { return p.peak }
