package route

// Kind classifies a route's requests by whether they may be retried.
type Kind int

const (
	// Once requests are not idempotent and run at most once.
	Once Kind = iota
	// Idempotent requests may run again after a failure.
	Idempotent
	// Stream requests are answered by an event stream. The stream may resume at another
	// upstream where the route is resumable.
	Stream
)

// String returns the kind's name as logs and metrics show it.
func (k Kind) String() string {
	switch k {
	case Idempotent:
		return "idempotent"
	case Stream:
		return "stream"
	default:
		return "once"
	}
}
