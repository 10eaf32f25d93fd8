package notice

import "time"

// noAnswer is the age of an answer where none is known.
const noAnswer = -time.Nanosecond

// Report tells another node what an upstream's answer said.
type Report struct {
	// Start is the upstream's start, as its record names it.
	Start string
	// Origin is the run of the node that read the answer, and Seq when, in nanoseconds of
	// a clock of its own: answers of one origin are in exact order.
	Origin uint64
	Seq    int64
	// Age is how long ago the answer was read. It orders answers of different origins, with
	// the error that its way here adds. It is negative where the sender knows of no answer:
	// then nothing is said of a limit.
	Age   time.Duration
	Limit Limit
	// Leaving is set where the upstream has said that it leaves.
	Leaving bool
}
