package admin

import (
	"time"

	"github.com/hickorybank/hickorybank/internal/config"
)

// Change is a change of the configuration for [Store.Apply].
type Change struct {
	// ID is unique to the change. Retries have the same id.
	ID string
	// Base is the revision that the change is made from; 0 means that no configuration is stored.
	Base     uint64
	Operator string
	At       time.Time
	// Digest identifies the content of the operator's request.
	Digest string
	// Edit returns the new document, given a copy of the base document (empty if none is stored).
	// If it returns an error, the change is not made.
	Edit func(doc *config.Document) (*config.Document, error)
	// Replaces states that Edit ignores the old document. The change can then replace a stored
	// document that cannot be read.
	Replaces bool
}

// Verdict is the outcome of a change whose outcome is known.
type Verdict int

// The verdicts.
const (
	// Accepted means that the change made the revision in the record.
	Accepted Verdict = iota
	// Replayed means that the change had been accepted before, as in the record.
	Replayed
	// Conflicted means that another change was accepted first; this one can never be applied.
	Conflicted
	// Reused means that the id belongs to another change.
	Reused
)

// Result is the verdict on a change with the stored rows that it follows from.
type Result struct {
	Verdict Verdict
	// Head is the current head.
	Head Head
	// Record is the record of the accepted change, or of the change that has the id.
	Record Record
	// Before and Doc are the documents before and after an accepted change; nil if it is a replay.
	Before *config.Document
	Doc    *config.Document
}
