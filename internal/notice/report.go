package notice

import "time"

// noResponse is the age in a report if the sender knows of no response.
const noResponse = -time.Nanosecond

// Report carries an upstream's announced state to another node.
type Report struct {
	// Start identifies the incarnation of the upstream, as its record does.
	Start string
	// Origin identifies the run of the node that read the response. Seq is the time of
	// reading in nanoseconds of that run's own clock, so that responses of one origin are
	// ordered exactly.
	Origin uint64
	Seq    int64
	// Age is the time since the response was read. It orders responses of different
	// origins, with an error of the message's delay. It is negative if the sender knows of
	// no response: the report then says nothing about a limit.
	Age   time.Duration
	Limit Limit
	// Leaving is set if the upstream announced its shutdown.
	Leaving bool
}
