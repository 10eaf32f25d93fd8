package upstream

import "fmt"

// Reach is how far a failed request got.
type Reach int

// The values of Reach.
const (
	// NotSent means that no byte can have reached the upstream.
	NotSent Reach = iota
	// Declined means that the upstream guarantees that it did not run the request.
	Declined
	// MaybeRun means that the request may have run, completely or in part.
	MaybeRun
)

// Error is the error of a failed call to an upstream.
type Error struct {
	// Reach is how far the request got.
	Reach Reach
	// Addr is the address of the upstream.
	Addr string
	// Err is the cause.
	Err error
}

// Error returns the address, how far the request got, and the cause.
func (e *Error) Error() string {
	word := [...]string{"not sent", "declined", "maybe run"}[e.Reach]
	return fmt.Sprintf("upstream %s (%s): %v", e.Addr, word, e.Err)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }
