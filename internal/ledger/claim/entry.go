package claim

import (
	"github.com/hickorybank/hickorybank/internal/ledger/bill"
	"github.com/hickorybank/hickorybank/internal/ledger/key"
	"github.com/hickorybank/hickorybank/internal/request"
)

// Kind is what an entry does.
type Kind uint8

// The kinds of entries.
const (
	// KindClaim gives the key to an attempt, if no other holds it.
	KindClaim Kind = iota + 1
	// KindSettle ends the attempt for good.
	KindSettle
	// KindRelease says that the attempt did not run and never will. It also
	// bars a claim of the same attempt that comes later, by a detour.
	KindRelease
)

// Entry is one entry of a log.
type Entry struct {
	Kind    Kind
	ID      key.ID
	Attempt key.ID
	// Print is the fingerprint of a claim's body.
	Print request.Fingerprint
	// Node is the node of a claim, with the id of its process.
	Node string
	// At is in milliseconds since 1970, by the clock of the log's writer.
	At int64
	// Outcome, Answer and Bill are a settlement's.
	Outcome request.Outcome
	Answer  []byte
	Bill    *bill.Bill
}

// Fixed sizes of parts of an entry, for bounding rows.
const (
	entrySize = 80
	billSize  = 160
)

// size is about how many bytes the entry takes in a row.
func (e *Entry) size() int {
	n := entrySize + len(e.Answer)
	if e.Bill != nil {
		n += billSize
	}
	return n
}
