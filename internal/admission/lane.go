package admission

import "container/heap"

// lane is the waiting requests of one kind in one pool. It serves the
// organisations by start-time fair queueing: each request starts at the
// virtual time at which its organisation's earlier ones are paid for, the
// lowest start is served first, and costs count by the organisation's weight.
// Within an organisation the earliest deadline goes first.
type lane struct {
	flows  map[string]*flow
	active []*flow
	// virtual is the start of the request served last.
	virtual float64
	queued  int
	cost    float64
	// removals since flows were last dropped keep that cheap.
	removals int
}

func newLane() lane { return lane{flows: map[string]*flow{}} }

func (l *lane) flowOf(t *ticket) *flow {
	f := l.flows[t.org]
	if f == nil {
		f = &flow{org: t.org}
		l.flows[t.org] = f
	}
	f.weight = t.weight
	return f
}

func (l *lane) push(t *ticket) {
	f := l.flowOf(t)
	if len(f.queue) == 0 {
		l.active = append(l.active, f)
	}
	heap.Push(&f.queue, t)
	f.cost += t.cost
	l.cost += t.cost
	l.queued++
}

// remove takes a waiting ticket out.
func (l *lane) remove(t *ticket) {
	f := l.flows[t.org]
	heap.Remove(&f.queue, t.index)
	f.cost -= t.cost
	l.cost -= t.cost
	l.queued--
	l.removals++
	if len(f.queue) > 0 {
		return
	}
	f.cost = 0
	for i, a := range l.active {
		if a == f {
			l.active = append(l.active[:i], l.active[i+1:]...)
			break
		}
	}
	l.forget()
}

// next is the ticket to serve next, or nil.
func (l *lane) next() *ticket {
	var best *flow
	for _, f := range l.active {
		if best == nil || l.startOf(f) < l.startOf(best) {
			best = f
		}
	}
	if best == nil {
		return nil
	}
	return best.queue[0]
}

// startOf is the virtual start of the flow's next request. A flow that was
// idle starts now: it cannot save up what it did not use.
func (l *lane) startOf(f *flow) float64 { return max(f.finish, l.virtual) }

// serve takes a ticket out and charges its organisation.
func (l *lane) serve(t *ticket) {
	f := l.flows[t.org]
	start := l.startOf(f)
	f.finish = start + t.cost/f.weight
	l.virtual = start
	l.remove(t)
}

// idleFlows is how many flows without work are kept.
const idleFlows = 64

// forget drops flows that owe nothing, so that the lane does not grow with
// every organisation it has ever seen.
func (l *lane) forget() {
	if len(l.flows) <= 2*len(l.active)+idleFlows || l.removals < len(l.flows) {
		return
	}
	l.removals = 0
	for org, f := range l.flows {
		if len(f.queue) == 0 && f.finish <= l.virtual {
			delete(l.flows, org)
		}
	}
}

// weightWith is the weight of all organisations with work waiting, org's
// included.
func (l *lane) weightWith(org string, weight float64) float64 {
	sum := weight
	for _, f := range l.active {
		if f.org != org {
			sum += f.weight
		}
	}
	return sum
}

// worst is the flow that has most waiting for its weight.
func (l *lane) worst() *flow {
	var worst *flow
	for _, f := range l.active {
		if worst == nil || f.cost/f.weight > worst.cost/worst.weight {
			worst = f
		}
	}
	return worst
}
