package entryqueue

import "time"

// Request is a request before its first attempt.
type Request struct {
	// ID identifies the request among its organisation's, also when it returns.
	ID string
	// Organisation is the caller's; empty if the request needs none.
	Organisation string
	// Priority ranks requests; 0 is the most urgent.
	Priority int
	// Goal is the time within which the answer should begin, Left the time until the
	// deadline.
	Goal, Left time.Duration
	// Exempt requests never wait, for example those that continue an answer.
	Exempt bool
}

// Verdict is what happens to a request.
type Verdict int

// Verdicts.
const (
	Run Verdict = iota
	Wait
	Refuse
)

// Reason is why a request waits or is refused. Its values are labels in metrics and logs.
type Reason string

// Reasons.
const (
	// NoRoom marks requests that wait for more urgent ones.
	NoRoom Reason = "no_room"
	// OverShare marks requests of an organisation that uses more than its fair share.
	OverShare Reason = "over_share"
	// NotInTime marks requests that would start too late for their deadline.
	NotInTime Reason = "not_in_time"
	// QueueFull marks requests over the share that find no place to wait.
	QueueFull Reason = "queue_full"
)

// Decision is the answer to [Queue.Offer].
type Decision struct {
	Verdict Verdict
	Reason  Reason
	// RetryAfter is when the queue probably starts the request; set if it is refused.
	RetryAfter time.Duration
	// Load is the share of slots in use that the decision is based on.
	Load float64
	// Ticket is the request's place; nil if it is refused.
	Ticket *Ticket
}

// Ticket is a request that waits or runs.
type Ticket struct {
	request Request
	usage   *usage
	// arrived orders tickets of one priority. A request that returns keeps its first time.
	arrived time.Time
	// until is when the request starts without room.
	until time.Time
	// untilInShare is the same while the organisation is within its share.
	untilInShare time.Time
	started      bool
	finished     bool
	expired      bool
}

// Expired reports whether the request started because its wait was over, not because there
// was room.
func (t *Ticket) Expired() bool { return t.expired }
