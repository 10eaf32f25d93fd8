package exchange

import "fmt"

// Failure is the error of an exchange without a response.
type Failure struct {
	// Sent is false only when no byte of the request can have reached the
	// upstream; the request is then safe to send elsewhere.
	Sent   bool
	Reason Reason
	// Err is the cause, for example an error of the connection.
	Err error
}

// Reason classifies a failure, as logs show it.
type Reason string

const (
	// NotConnected means that no connection could be opened.
	NotConnected Reason = "not_connected"
	// LinkLost means that this host's link to the upstream is lost; the upstream may be sound.
	// The connection was not opened, or it was silent and has been closed.
	LinkLost Reason = "link_lost"
	// Broken means that the connection ended before the head of the response was complete.
	Broken Reason = "broken"
	// InvalidResponse means that the received bytes are not an HTTP response, or that the
	// response belongs to another request.
	InvalidResponse Reason = "garbled"
	// TooLong means that bytes without end came in place of a response: its head, or a response
	// to another request, did not end within its bound.
	TooLong Reason = "too_long"
	// Withdrawn means that [Request.ShouldSend] returned false once there was a connection;
	// nothing was sent.
	Withdrawn Reason = "withdrawn"
	// Cancelled means that the exchange's context was cancelled or its deadline expired.
	Cancelled Reason = "cancelled"
)

// Error returns the reason, whether the request may have been sent, and the cause.
func (f *Failure) Error() string {
	return fmt.Sprintf("%s (sent: %t): %v", f.Reason, f.Sent, f.Err)
}

// Unwrap returns Err.
func (f *Failure) Unwrap() error { return f.Err }
