package gateway

import "time"

const (
	// recordBurst is how often a node writes its own evidence within recordWindow at most.
	recordBurst  = 4
	recordWindow = time.Second
	// recordDelay is how long the first of the nodes that write the evidence of others waits for
	// these to do it, recordTurn the time until the next one writes.
	recordDelay = 300 * time.Millisecond
	recordTurn  = 2 * time.Second
	// recordTurns is the number of these nodes.
	recordTurns = 3
	// crashRecorders is the number of nodes that write to the record of crashes; others hand their
	// evidence to one of them. All write to one row of the table.
	crashRecorders = 16
	// maxRecordRetryDelay bounds the pause after failed calls.
	maxRecordRetryDelay = 4 * time.Second
)

// recordPlan holds the inputs that decide when a node next writes to the record of crashes. Nodes
// write what they find out themselves at once. The rest, and what nodes that are gone have
// found out, is written by the first nodes in turn.
type recordPlan struct {
	// unread is set if the record could not be read as the node started.
	unread bool
	// unrecordedSince is when this node first had evidence that the table may lack; zero if it
	// has none. own is set if it found out some of it, or others have handed it over.
	unrecordedSince time.Time
	own             bool
	// rank is the node's place among those that write.
	rank int
	// tries are when the node last read the record to write it, the newest first; failures is the
	// number of failed tries since the last success.
	tries    [recordBurst]time.Time
	failures int
	// unavailable is set if no node can read the table.
	unavailable bool
}

// noteTry records a try that ended at a time.
func (p *recordPlan) noteTry(at time.Time) {
	copy(p.tries[1:], p.tries[:])
	p.tries[0] = at
}

// due returns when the node should write; false if it need not.
func (p *recordPlan) due() (time.Time, bool) {
	var at time.Time
	switch {
	case p.unread:
		at = p.tries[0].Add(maxRetryDelay)
	case p.unrecordedSince.IsZero() || p.rank >= crashRecorders:
		return time.Time{}, false
	case p.own:
		at = later(p.unrecordedSince, p.tries[recordBurst-1].Add(recordWindow))
	case p.rank < recordTurns && !p.unavailable:
		at = later(p.unrecordedSince.Add(recordDelay+time.Duration(p.rank)*recordTurn), p.tries[0].Add(maxRetryDelay))
	default:
		return time.Time{}, false
	}
	if p.failures > 0 {
		at = later(at, p.tries[0].Add(min(maxRetryDelay<<min(p.failures-1, 2), maxRecordRetryDelay)))
	}
	return at, true
}
