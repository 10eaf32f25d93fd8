package admission

import "time"

// line is one node's part of one organisation's limit.
type line struct {
	demand  float64
	heard   time.Duration
	granted float64
	until   time.Duration
	seq     uint64
	// A grant that is lower than the one before may be lost on its way, and
	// the node then keeps to the earlier one until that runs out: earlier
	// counts until earlierUntil, or until the node says that it holds the
	// grant loweredSeq or a later one. A collector then still names what its
	// nodes hold of earlier ones, which falls from message to message.
	earlier      float64
	earlierUntil time.Duration
	loweredSeq   uint64
}

// holds is the most that the node may use now.
func (l *line) holds(now time.Duration) float64 {
	var most float64
	if now < l.until {
		most = l.granted
	}
	if now < l.earlierUntil {
		most = max(most, l.earlier)
	}
	return most
}

// report takes the node's demand, and what it holds, perhaps from an earlier
// holder.
func (l *line) report(d Demand, t term) {
	l.demand = d.PerSecond
	l.heard = t.now
	if l.loweredSeq != 0 && d.HeldSeq >= l.loweredSeq {
		l.lower(d.Held)
	}
	if d.Held > l.holds(t.now) {
		l.earlier = d.Held
		l.earlierUntil = t.ends()
	}
}

// lower takes what is left of earlier grants.
func (l *line) lower(held float64) {
	l.earlier = min(l.earlier, held)
	if l.earlier <= l.granted {
		l.earlier = 0
		l.earlierUntil = 0
		l.loweredSeq = 0
	}
}

func (l *line) grant(share float64, seq uint64, t term) {
	if held := l.holds(t.now); share < held {
		l.earlier = held
		l.earlierUntil = max(l.until, l.earlierUntil)
		l.loweredSeq = seq
	}
	l.granted = share
	l.until = t.ends()
	l.seq = seq
}
