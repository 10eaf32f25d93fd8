package upstream

import "fmt"

// Reach says how far a failed request got.
type Reach int

// The reaches.
const (
	// NotSent: no byte can have reached the upstream.
	NotSent Reach = iota
	// Declined: the upstream's contract says that it did not run the request.
	Declined
	// MaybeRun: in doubt; it may have run, wholly or in part.
	MaybeRun
)

// Error is a failed call to an upstream.
type Error struct {
	Reach Reach
	Addr  string
	Err   error
}

// Error says how far the request got and why it failed.
func (e *Error) Error() string {
	word := [...]string{"not sent", "declined", "maybe run"}[e.Reach]
	return fmt.Sprintf("upstream %s (%s): %v", e.Addr, word, e.Err)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }
