package claim

import (
	"github.com/hickorybank/hickorybank/internal/ledger/bill"
	"github.com/hickorybank/hickorybank/internal/request"
)

// Settlement records the final outcome of a claimed attempt.
type Settlement struct {
	Org     string
	Key     string
	Attempt string
	Outcome request.Outcome
	// Answer is kept for retries with the same key, unless it is longer than the
	// ledger's Settings.MaxAnswer.
	Answer []byte
	// Bill is nil if the work costs nothing.
	Bill *bill.Bill
}

// Release gives up a key: the attempt did not run and never will.
type Release struct {
	Org     string
	Key     string
	Attempt string
}
