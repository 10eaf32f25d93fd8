package claim

import (
	"time"

	"github.com/hickorybank/hickorybank/internal/ledger/bill"
	"github.com/hickorybank/hickorybank/internal/request"
)

// Record is what the ledger knows of a key.
type Record struct {
	Fingerprint request.Fingerprint
	Attempt     string
	// Node is the node that claimed, with the id of its process.
	Node string
	// At is when the key was claimed, in whole milliseconds.
	At time.Time
	// Settled says that the fields below hold.
	Settled bool
	Outcome request.Outcome
	// Answer is the answer, if it was small enough to keep.
	Answer []byte
	// Bill is the bill that the settlement came with.
	Bill *bill.Bill
}
