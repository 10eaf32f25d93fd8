package admission

import "container/heap"

// flow is one organisation's waiting requests in one lane.
type flow struct {
	org    string
	weight float64
	// finish is the virtual time at which what the organisation has had so far
	// is paid for.
	finish float64
	queues [ranks]byDeadline
	costs  [ranks]float64
	queued int
	// served counts what heavy and deferrable work have had, by their shares.
	served [ranks]float64
}

func (f *flow) push(t *ticket) {
	heap.Push(&f.queues[t.rank], t)
	f.costs[t.rank] += t.cost
	f.queued++
}

func (f *flow) remove(t *ticket) {
	heap.Remove(&f.queues[t.rank], t.index)
	f.costs[t.rank] -= t.cost
	f.queued--
	if len(f.queues[t.rank]) == 0 {
		f.costs[t.rank] = 0
	}
}

// cost is that of all that waits.
func (f *flow) cost() float64 {
	return f.costs[rankImmediate] + f.costs[rankHeavy] + f.costs[rankDeferrable]
}

// next is the ticket that the organisation is served next; the flow is not
// empty.
func (f *flow) next(deferrable float64) *ticket {
	if len(f.queues[rankImmediate]) > 0 {
		return f.queues[rankImmediate][0]
	}
	return f.queues[f.turn(deferrable)][0]
}

// turn says whether heavy or deferrable work is next: deferrable work has its
// share while both wait.
func (f *flow) turn(deferrable float64) rank {
	if len(f.queues[rankHeavy]) == 0 {
		return rankDeferrable
	}
	if len(f.queues[rankDeferrable]) == 0 {
		return rankHeavy
	}
	if f.served[rankDeferrable]+1/deferrable < f.served[rankHeavy]+1/(1-deferrable) {
		return rankDeferrable
	}
	return rankHeavy
}

// charge counts what was served against the rank's share. A rank that was
// idle cannot save up its share.
func (f *flow) charge(t *ticket, deferrable float64) {
	switch t.rank {
	case rankHeavy:
		f.served[rankHeavy] += t.cost / (1 - deferrable)
	case rankDeferrable:
		f.served[rankDeferrable] += t.cost / deferrable
	default:
		return
	}
	if len(f.queues[rankHeavy]) == 0 || len(f.queues[rankDeferrable]) == 0 {
		most := max(f.served[rankHeavy], f.served[rankDeferrable])
		f.served[rankHeavy], f.served[rankDeferrable] = most, most
	}
}

// aheadOf is the cost of the organisation's own requests that go before a new
// one of the rank.
func (f *flow) aheadOf(r rank) float64 {
	if r == rankHeavy {
		return f.costs[rankHeavy]
	}
	return f.cost()
}

// before is the cost of those waiting requests that start before a virtual
// time, when the first one starts at first.
func (f *flow) before(first, until float64) float64 {
	if first > until {
		return 0
	}
	return min(f.cost(), (until-first)*f.weight+f.cost()/float64(f.queued))
}

// last is the waiting request that can best be spared: deferrable before
// heavy, and of those the one with the latest deadline.
func (f *flow) last() *ticket {
	for r := ranks - 1; r >= 0; r-- {
		if len(f.queues[r]) > 0 {
			return f.queues[r].last()
		}
	}
	return nil
}
