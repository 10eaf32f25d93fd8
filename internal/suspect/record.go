package suspect

import (
	"time"

	"github.com/hickorybank/hickorybank/internal/request"
)

// Record is what is known of one fingerprint. Both lists only grow, so records merge in
// any order.
type Record struct {
	Fingerprint request.Fingerprint
	// Crashes are those at which the request was in flight; two that are not cleared
	// convict it.
	Crashes []CrashID
	// Cleared are the crashes that the request is cleared of.
	Cleared []CrashID
	// Left is how long the record is to be kept. Since is the time from the conviction
	// until now; 0 if there is none.
	Left  time.Duration
	Since time.Duration
}
