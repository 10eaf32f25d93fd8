package ledger

import (
	"github.com/hickorybank/hickorybank/internal/ledger/bill"
	"github.com/hickorybank/hickorybank/internal/ledger/claim"
)

// The messages of the ledger.
type (
	// ClaimRequest asks for the right to run a piece of work once.
	ClaimRequest = claim.Request
	// ClaimResult answers it.
	ClaimResult = claim.Result
	// Settlement ends a claim for good.
	Settlement = claim.Settlement
	// ReleaseRequest gives a key back that was not run.
	ReleaseRequest = claim.Release
	// Bill is what one completed request costs.
	Bill = bill.Bill
	// Safety says where a bill is kept.
	Safety = bill.Safety
)
