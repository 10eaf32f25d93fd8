package admission

import "time"

// Sample holds the measurements of a finished request.
type Sample struct {
	// FirstToken is the time to the first piece of the answer, or of the whole call for a
	// plain service; 0 when nothing came.
	FirstToken time.Duration
	// Total is the time for which the request ran.
	Total time.Duration
	// Overloaded is set when the upstream refused or failed the request because of overload.
	Overloaded bool
}
