package client

import "fmt"

// NoAnswer is the error of a request without a complete answer. A change may have been applied.
type NoAnswer struct {
	// Err is the cause.
	Err error
}

// Error returns a message with the cause.
func (e *NoAnswer) Error() string {
	return fmt.Sprintf("administration interface gave no answer: %v", e.Err)
}

// Unwrap returns the cause.
func (e *NoAnswer) Unwrap() error { return e.Err }
