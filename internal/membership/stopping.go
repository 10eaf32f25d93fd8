package membership

import "time"

// Stopping decides the steps of a planned stop. It does no I/O.
type Stopping struct{}

// NewStopping returns the state machine of a node that serves.
func NewStopping(_ Settings) *Stopping { return &Stopping{} }

// Step takes an event at a time with the number of requests that run, and
// returns the steps to take now, in order.
func (s *Stopping) Step(_ time.Time, _ StopEvent, _ int) []StopStep { return nil }

// Ordered says whether a stop was ordered.
func (s *Stopping) Ordered() bool { return false }
