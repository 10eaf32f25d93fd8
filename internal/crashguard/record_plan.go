package crashguard

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
	// Recorders is the number of nodes that write to the record: all write to one row of the table.
	// Others hand them their evidence.
	Recorders = 16
	// recordRetryDelay is the pause after a failed call, maxRecordRetryDelay that after several.
	recordRetryDelay    = time.Second
	maxRecordRetryDelay = 4 * time.Second
)

// RecordPlan holds the inputs that decide when a node next writes to the record of crashes. Nodes
// write what they find out themselves at once. The rest, and what nodes that are gone have
// found out, is written by the first nodes in turn.
type RecordPlan struct {
	// Unread is set if the record could not be read as the node started.
	Unread bool
	// UnrecordedSince is when this node first had evidence that the table may lack; zero if it
	// has none. Own is set if it found out some of it, or others have handed it over.
	UnrecordedSince time.Time
	Own             bool
	// Rank is the node's place among those that write.
	Rank int
	// tries are when the node last read the record to write it, the newest first; failures is the
	// number of failed tries since the last success.
	tries    [recordBurst]time.Time
	failures int
	// Unavailable is set if no node can read the table.
	Unavailable bool
}

// NoteTry records a try that ended at a time, and whether a call of it failed. It returns the number
// of failed tries since the last success.
func (p *RecordPlan) NoteTry(at time.Time, failed bool) (failures int) {
	copy(p.tries[1:], p.tries[:])
	p.tries[0] = at
	if failed {
		p.failures++
	} else {
		p.failures, p.Unread = 0, false
	}
	return p.failures
}

// NoteEvidence updates the plan: whether the node has evidence that the table may lack.
func (p *RecordPlan) NoteEvidence(unrecorded bool, now time.Time) {
	switch {
	case !unrecorded:
		p.UnrecordedSince, p.Own = time.Time{}, false
	case p.UnrecordedSince.IsZero():
		p.UnrecordedSince = now
	}
}

// Due returns when the node should write; false if it need not.
func (p *RecordPlan) Due() (time.Time, bool) {
	var at time.Time
	switch {
	case p.Unread:
		at = p.tries[0].Add(recordRetryDelay)
	case p.UnrecordedSince.IsZero() || p.Rank >= Recorders:
		return time.Time{}, false
	case p.Own:
		at = later(p.UnrecordedSince, p.tries[recordBurst-1].Add(recordWindow))
	case p.Rank < recordTurns && !p.Unavailable:
		at = later(p.UnrecordedSince.Add(recordDelay+time.Duration(p.Rank)*recordTurn), p.tries[0].Add(recordRetryDelay))
	default:
		return time.Time{}, false
	}
	if p.failures > 0 {
		at = later(at, p.tries[0].Add(min(recordRetryDelay<<min(p.failures-1, 2), maxRecordRetryDelay)))
	}
	return at, true
}
