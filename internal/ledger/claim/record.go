package claim

import (
	"time"

	"github.com/hickorybank/hickorybank/internal/ledger/bill"
	"github.com/hickorybank/hickorybank/internal/request"
)

// Record is the state of a key that was claimed.
type Record struct {
	Fingerprint request.Fingerprint
	Attempt     string
	// Node is the node that claimed the key, with the id of its process.
	Node string
	// At is when the key was claimed, in whole milliseconds.
	At time.Time
	// Settled means that the attempt was settled and the fields below are valid.
	Settled bool
	Outcome request.Outcome
	// Answer is the answer to the request, if it was small enough to keep.
	Answer []byte
	// Bill is the bill of the settlement; nil if there is none.
	Bill *bill.Bill
}
