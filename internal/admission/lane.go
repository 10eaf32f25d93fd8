package admission

// lane is waiting requests of one pool: one lane has the immediate ones, one
// the others. It serves the organisations by start-time fair queueing: each
// request starts at the virtual time at which its organisation's earlier ones
// are paid for, the lowest start is served first, and costs count by the
// organisation's weight. Within an organisation heavy work goes before
// deferrable work, but for a share, and within these the earliest deadline
// goes first.
type lane struct {
	// deferrable is the share of an organisation's places that its deferrable
	// work has while its heavy work waits too.
	deferrable float64
	flows      map[string]*flow
	active     []*flow
	// virtual is the start of the request served last.
	virtual float64
	queued  int
	// removals since flows were last dropped keep that cheap.
	removals int
}

func newLane(deferrable float64) lane {
	return lane{deferrable: deferrable, flows: map[string]*flow{}}
}

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
	if f.queued == 0 {
		l.active = append(l.active, f)
	}
	f.push(t)
	l.queued++
}

// remove takes a waiting ticket out.
func (l *lane) remove(t *ticket) {
	f := l.flows[t.org]
	f.remove(t)
	l.queued--
	l.removals++
	if f.queued > 0 {
		return
	}
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
	return best.next(l.deferrable)
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
	f.charge(t, l.deferrable)
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
		if f.queued == 0 && f.finish <= l.virtual {
			delete(l.flows, org)
		}
	}
}

// ahead is the cost of what would be served before a new request: of the other
// organisations all that starts before it in virtual time, and what its own
// has waiting.
func (l *lane) ahead(t *ticket) float64 {
	start, own := l.virtual, 0.0
	if f := l.flows[t.org]; f != nil {
		own = f.aheadOf(t.rank)
		start = l.startOf(f) + own/t.weight
	}
	sum := own
	for _, f := range l.active {
		if f.org != t.org {
			sum += f.before(l.startOf(f), start)
		}
	}
	return sum
}

// worst is the flow that has most waiting for its weight.
func (l *lane) worst() *flow {
	var worst *flow
	for _, f := range l.active {
		if worst == nil || f.cost()/f.weight > worst.cost()/worst.weight {
			worst = f
		}
	}
	return worst
}

// heavy says whether heavy work waits.
func (l *lane) heavy() bool {
	for _, f := range l.active {
		if len(f.queues[rankHeavy]) > 0 {
			return true
		}
	}
	return false
}
