package admission

import "time"

const (
	// leastDemand keeps a little for a node whose demand has just ended, in
	// requests a second.
	leastDemand = 0.01
	// forgetAfter is when a node that says nothing more of an organisation is
	// taken to have no demand.
	forgetAfter = 15 * time.Second
)

// book is one organisation's limit and who has which part of it.
type book struct {
	// since is when the holder first heard of the organisation.
	since time.Duration
	lines map[string]*line // by node
}

// term is when a grant is given and for how long.
type term struct {
	now      time.Duration
	grantFor time.Duration
}

func (t term) ends() time.Duration { return t.now + t.grantFor }

// renew takes a node's demand and returns its share. A summary that was
// overtaken by a later one gets none; one that came twice gets its share again.
func (b *book) renew(s Summary, d Demand, whole float64, t term) (float64, bool) {
	l := b.lines[s.From]
	if l == nil {
		l = &line{}
		b.lines[s.From] = l
	}
	if s.Seq < l.seq {
		return 0, false
	}
	if s.Seq == l.seq {
		return l.granted, true
	}
	l.report(d, t)
	b.forget(t.now)
	share := b.share(l, whole, t)
	l.grant(share, s.Seq, t)
	return share, true
}

// share is the node's part of the whole by demand, as far as the others'
// grants that still count leave room.
func (b *book) share(l *line, whole float64, t term) float64 {
	var demands, others float64
	for _, o := range b.lines {
		demands += o.demand + leastDemand
		if o != l {
			others += o.holds(t.now)
		}
	}
	share := whole * (l.demand + leastDemand) / demands
	if t.now < b.since+t.grantFor {
		// Grants of an earlier holder may still count that this one has
		// not heard of: no node may get more than it holds.
		share = min(share, l.holds(t.now))
	}
	return max(0, min(share, whole-others))
}

func (b *book) forget(now time.Duration) {
	for id, l := range b.lines {
		if l.holds(now) == 0 && now > l.heard+forgetAfter {
			delete(b.lines, id)
		}
	}
}
