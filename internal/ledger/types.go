package ledger

import (
	"github.com/hickorybank/hickorybank/internal/ledger/bill"
	"github.com/hickorybank/hickorybank/internal/ledger/claim"
)

// Types of the packages claim and bill that callers of the ledger use.
type (
	// ClaimRequest requests the right to run a piece of work once.
	ClaimRequest = claim.Request
	// ClaimResult is the result of a ClaimRequest.
	ClaimResult = claim.Result
	// Settlement records the final outcome of a claimed attempt.
	Settlement = claim.Settlement
	// ReleaseRequest gives up a key whose work was not run.
	ReleaseRequest = claim.Release
	// Bill is the charge for one completed request.
	Bill = bill.Bill
	// Safety is where a bill is stored.
	Safety = bill.Safety
)
