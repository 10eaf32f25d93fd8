package admission

import "time"

// Sample is what a finished request tells of its pool.
type Sample struct {
	// Start is the time to the first piece of the answer, or of the whole
	// call for a plain service; 0 when nothing came.
	Start time.Duration
	// Total is the time that the request ran.
	Total time.Duration
	// Dropped is set when the upstream refused or failed it for overload.
	Dropped bool
}
