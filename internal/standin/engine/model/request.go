package model

import "time"

// Request holds the properties of a request that the simulation depends on.
type Request struct {
	// ID identifies the request in events. The engine does not interpret it.
	ID uint64
	// Priority orders the queue: lower numbers run first.
	Priority int
	// Prefix is the hash of the prompt's shared prefix; 0 means none.
	Prefix uint64
	// Prefill is the prefill time of the prompt without cache, in a batch of its own.
	Prefill time.Duration
	// Tokens is the length of the answer. A value below 1 counts as 1.
	Tokens int
}

// Ticket identifies a request in an engine. It is not reused within 2^32 requests.
type Ticket uint64

func ticketOf(slot int32, reuses uint32) Ticket {
	return Ticket(reuses)<<32 | Ticket(uint32(slot))
}

func (t Ticket) slot() int32 { return int32(uint32(t)) }

func (t Ticket) reuses() uint32 { return uint32(t >> 32) }
