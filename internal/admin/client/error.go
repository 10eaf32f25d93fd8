package client

import "fmt"

// NoAnswer says that no whole answer came: a change may have been applied.
type NoAnswer struct {
	Err error
}

// Error says that there was no answer, and why.
func (e *NoAnswer) Error() string {
	return fmt.Sprintf("administration interface gave no answer: %v", e.Err)
}

// Unwrap returns the cause.
func (e *NoAnswer) Unwrap() error { return e.Err }
