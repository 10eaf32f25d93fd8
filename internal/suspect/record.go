package suspect

import (
	"time"

	"github.com/hickorybank/hickorybank/internal/request"
)

// Record is what is known of one fingerprint. Both lists only grow, so that
// records merge in any order.
type Record struct {
	Fingerprint request.Fingerprint
	// Crashes are those it was in flight at; two that are not cleared convict.
	Crashes []CrashID
	// Cleared are the crashes that it has been cleared of.
	Cleared []CrashID
	// Left is how long it is to be remembered, Since how long ago it was
	// convicted; 0 when it was not.
	Left  time.Duration
	Since time.Duration
}
