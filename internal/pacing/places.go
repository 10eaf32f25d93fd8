package pacing

// Places is this node's part of the places at one upstream. The parts of all nodes add up to
// the upstream's places, without communication: a node that uses no more than its part is never in
// the way of others.
type Places struct {
	total, exceeding, generation int
	initialized                  bool
	part                         int
	mayExceed                    bool
}

// Part returns this node's part of the places at an upstream, and whether it is one of the
// exceeding nodes, which may use other nodes' places while few are in use. The upstream's name must
// be the same on all nodes. The part is 0 while the other nodes are not known.
func (p *Places) Part(upstream string, total, exceeding int, senders *Senders) (part int, mayExceed bool) {
	if p.initialized && p.total == total && p.exceeding == exceeding && p.generation == senders.generation {
		return p.part, p.mayExceed
	}
	*p = Places{total: total, exceeding: exceeding, generation: senders.generation, initialized: true}
	nodes := len(senders.nodes)
	if nodes == 0 {
		return 0, false
	}
	p.part = total / nodes
	if senders.isSender(upstream, total%nodes) {
		p.part++ // one of the places that remain
	}
	p.mayExceed = senders.isSender(upstream, exceeding)
	return p.part, p.mayExceed
}
