package claim

import (
	"github.com/hickorybank/hickorybank/internal/ledger/bill"
	"github.com/hickorybank/hickorybank/internal/ledger/key"
	"github.com/hickorybank/hickorybank/internal/request"
)

// Kind is the kind of an entry: what it does to its key.
type Kind uint8

// The kinds of entries.
const (
	// KindClaim gives the key to an attempt, if no other attempt holds it.
	KindClaim Kind = iota + 1
	// KindSettle records the final outcome of the attempt that holds the key.
	KindSettle
	// KindRelease records that the attempt did not run and never will. It also
	// rejects a delayed claim of the same attempt that arrives later.
	KindRelease
)

// Entry is one entry of a log.
type Entry struct {
	Kind Kind
	// ID identifies the organisation and the key.
	ID      key.ID
	Attempt key.ID
	// Print is the fingerprint of the request's body, for claims.
	Print request.Fingerprint
	// Node is the node that claims, with the id of its process, for claims.
	Node string
	// At is in milliseconds since 1970, by the clock of the log's writer.
	At int64
	// Outcome, Answer and Bill are set for settlements.
	Outcome request.Outcome
	Answer  []byte
	Bill    *bill.Bill
}

// Approximate encoded sizes of parts of an entry, in bytes, used to bound rows.
const (
	entrySize = 80
	billSize  = 160
)

// size returns the approximate size of the entry in a row, in bytes.
func (e *Entry) size() int {
	n := entrySize + len(e.Answer)
	if e.Bill != nil {
		n += billSize
	}
	return n
}
