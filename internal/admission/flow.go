package admission

import "container/heap"

// flow holds one organisation's waiting requests in one lane.
type flow struct {
	org    string
	weight float64
	// finish is the virtual time at which the organisation has paid for the work served
	// so far.
	finish float64
	queues [ranks]byDeadline
	costs  [ranks]float64
	queued int
	// served is the cost of heavy and deferrable work served, each divided by its share.
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

// cost returns the cost of all waiting requests.
func (f *flow) cost() float64 {
	return f.costs[rankImmediate] + f.costs[rankHeavy] + f.costs[rankDeferrable]
}

// next returns the organisation's next ticket; the flow must not be empty.
func (f *flow) next(deferrable float64) *ticket {
	if len(f.queues[rankImmediate]) > 0 {
		return f.queues[rankImmediate][0]
	}
	return f.queues[f.nextRank(deferrable)][0]
}

// nextRank returns whether heavy or deferrable work is next. Deferrable work gets its
// share while both wait.
func (f *flow) nextRank(deferrable float64) rank {
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

// charge counts a served ticket against its rank's share. A rank does not accumulate
// credit while it is idle.
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
		highest := max(f.served[rankHeavy], f.served[rankDeferrable])
		f.served[rankHeavy], f.served[rankDeferrable] = highest, highest
	}
}

// costAhead returns the cost of the organisation's own requests that go before a new one
// of the rank.
func (f *flow) costAhead(r rank) float64 {
	if r == rankHeavy {
		return f.costs[rankHeavy]
	}
	return f.cost()
}

// costBefore returns the cost of the waiting requests that start before the virtual time
// until, if the first one starts at first.
func (f *flow) costBefore(first, until float64) float64 {
	if first > until {
		return 0
	}
	return min(f.cost(), (until-first)*f.weight+f.cost()/float64(f.queued))
}

// leastUrgent returns the waiting ticket to drop first: deferrable before heavy work,
// then the latest deadline.
func (f *flow) leastUrgent() *ticket {
	for r := ranks - 1; r >= 0; r-- {
		if len(f.queues[r]) > 0 {
			return f.queues[r].latest()
		}
	}
	return nil
}
