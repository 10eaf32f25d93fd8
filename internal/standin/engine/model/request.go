package model

import "time"

// Request is what the engine needs to know of a request.
type Request struct {
	// ID comes back in the events; the engine does not look at it.
	ID uint64
	// Priority orders the queue: a lower one runs first.
	Priority int
	// Prefix names the prompt's shared prefix; 0 is none.
	Prefix uint64
	// Prefill is how long a lone request's prompt takes to read, uncached.
	Prefill time.Duration
	// Tokens is the length of the answer; less than 1 counts as 1.
	Tokens int
}

// Ticket names a request that an engine holds. It is not reused within 2^32
// requests.
type Ticket uint64

func ticketOf(slot int32, round uint32) Ticket {
	return Ticket(round)<<32 | Ticket(uint32(slot))
}

func (t Ticket) slot() int32 { return int32(uint32(t)) }

func (t Ticket) round() uint32 { return uint32(t >> 32) }
