package suspect

import "github.com/hickorybank/hickorybank/internal/request"

// Record is what is known of one fingerprint.
type Record struct {
	Fingerprint request.Fingerprint
	// Crashes are those it was in flight at; two convict.
	Crashes []CrashID
	// Cleared counts the crashes that a completed run alone has excused.
	Cleared []CrashID
}
