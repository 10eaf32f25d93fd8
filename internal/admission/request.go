package admission

import (
	"time"

	"github.com/hickorybank/hickorybank/internal/config"
)

// Request asks for admission.
type Request struct {
	// ID is unique among the requests that wait or run.
	ID     string
	Org    string
	Weight float64
	Kind   config.Kind
	// Pool names what the request will run on: a version or a service.
	Pool string
	// Deadline is when the answer is worth nothing any more.
	Deadline time.Time
	// Cost estimates the work relative to a usual request of the pool; 0 is 1.
	Cost float64
	Now  time.Time
}
