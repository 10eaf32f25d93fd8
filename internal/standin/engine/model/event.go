package model

import "time"

// EventKind is the kind of an [Event].
type EventKind uint8

// The kinds of events, in the order in which a request has them.
const (
	// Started means that the request joined the batch and its execution started.
	Started EventKind = iota
	// First means that the first token was produced.
	First
	// Token means that a later token was produced. It requires Config.EveryToken.
	Token
	// Finished means that the last token was produced and the request left the batch.
	// It follows the event of that token.
	Finished
)

var eventNames = [...]string{"started", "first", "token", "finished"}

// String returns the name of the kind in lower case.
func (k EventKind) String() string { return eventNames[k] }

// Event is one step in the execution of a request.
type Event struct {
	// At is the time of the event since the engine's start.
	At time.Duration
	// ID is the request's ID.
	ID uint64
	// Ticket is the request's ticket.
	Ticket Ticket
	// Count is the number of tokens that the request has produced.
	Count int32
	// Kind says what happened to the request.
	Kind EventKind
	// Cached reports whether the request's prefix was cached when it joined the batch.
	Cached bool
}
