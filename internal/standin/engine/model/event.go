package model

import "time"

// EventKind says what happened to a request.
type EventKind uint8

// The kinds of events, in the order in which a request has them.
const (
	// Started: the request joined the batch; its execution began.
	Started EventKind = iota
	// First: the first token came.
	First
	// Token: a later token came; only with Config.EveryToken.
	Token
	// Finished: the last token came, and the request left the batch. It
	// follows the event of that token.
	Finished
)

var eventNames = [...]string{"started", "first", "token", "finished"}

// String returns the kind's name.
func (k EventKind) String() string { return eventNames[k] }

// Event is one decision of the engine.
type Event struct {
	At     time.Duration
	ID     uint64
	Ticket Ticket
	// Count is how many tokens the request has by now.
	Count  int32
	Kind   EventKind
	Cached bool
}
