package admission

import (
	"time"

	"github.com/hickorybank/hickorybank/internal/config"
)

// Request asks for admission.
type Request struct {
	// ID is unique among the requests that wait or run.
	ID string
	// Org is the organisation, and Weight its weight in the shares of the pool; 0 means
	// 1.
	Org    string
	Weight float64
	// Kind determines the lane and the longest wait.
	Kind config.Kind
	// Pool is the name of the pool that the request will run on: a version or a service.
	Pool string
	// Deadline is the time after which the answer is of no use.
	Deadline time.Time
	// Cost is the estimated work relative to a typical request of the pool; 0 means 1.
	Cost float64
	// Now is the time of the request.
	Now time.Time
}
