package route

// Kind tells what may be repeated on a route.
type Kind int

const (
	// Once is work that is not idempotent: at most one run.
	Once Kind = iota
	// Idempotent work may run again after a failure.
	Idempotent
	// Stream is an answer in events; it may be resumed where the route says so.
	Stream
)

// String returns the kind's name in logs and metrics.
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
