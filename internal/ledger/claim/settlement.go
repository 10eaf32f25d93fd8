package claim

import (
	"github.com/hickorybank/hickorybank/internal/ledger/bill"
	"github.com/hickorybank/hickorybank/internal/request"
)

// Settlement ends a claim for good.
type Settlement struct {
	Org     string
	Key     string
	Attempt string
	Outcome request.Outcome
	// Answer is kept for retries with the same key when it is not longer than
	// Settings.MaxAnswer; longer ones are dropped.
	Answer []byte
	// Bill is nil when the work costs nothing.
	Bill *bill.Bill
}

// Release gives a key back: its attempt did not run and never will.
type Release struct {
	Org     string
	Key     string
	Attempt string
}
