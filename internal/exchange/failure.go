package exchange

import "fmt"

// Failure says why an exchange brought no answer.
type Failure struct {
	// Sent is false only when no byte of the request can have reached the
	// upstream.
	Sent   bool
	Reason Reason
	Err    error
}

// Reason is a failure's kind.
type Reason string

const (
	// NotConnected: no connection could be opened.
	NotConnected Reason = "not_connected"
	// Broken: the connection ended before a whole answer head.
	Broken Reason = "broken"
	// Garbled: what came back is no answer, or another request's.
	Garbled Reason = "garbled"
	// Withdrawn: the request was taken back before any byte of it was sent.
	Withdrawn Reason = "withdrawn"
	// Cancelled: the caller gave the exchange up, or its time was over.
	Cancelled Reason = "cancelled"
)

// Error describes the failure.
func (f *Failure) Error() string {
	return fmt.Sprintf("%s (sent: %t): %v", f.Reason, f.Sent, f.Err)
}

// Unwrap returns the cause.
func (f *Failure) Unwrap() error { return f.Err }
