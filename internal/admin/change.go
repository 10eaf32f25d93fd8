package admin

import (
	"time"

	"github.com/hickorybank/hickorybank/internal/config"
)

// Change is one change of the configuration.
type Change struct {
	// ID is unique to the change. A change that is sent again has the same.
	ID string
	// Base is the revision that the change was made from; 0 means that no
	// configuration is stored.
	Base     uint64
	Operator string
	At       time.Time
	// Digest is of everything that the operator sent.
	Digest string
	// Edit returns the new document, given a copy of that of the base (empty
	// when there is none). Its error ends the change.
	Edit func(doc *config.Document) (*config.Document, error)
	// Replaces says that Edit does not look at the old document, so that a
	// stored one that cannot be read can still be replaced.
	Replaces bool
}

// Verdict is what became of a change.
type Verdict int

// The verdicts.
const (
	// Accepted: the change is the revision in the record.
	Accepted Verdict = iota
	// Replayed: the change had been accepted before, as in the record.
	Replayed
	// Conflicted: another change came first; this one can never apply.
	Conflicted
	// Reused: the id belongs to another change.
	Reused
)

// Result is a verdict with what it rests on.
type Result struct {
	Verdict Verdict
	// Head is the present head.
	Head Head
	// Record is of the accepted change, or of the one that has the id.
	Record Record
	// Before and Doc are the documents before and after an accepted change;
	// nil when replayed.
	Before *config.Document
	Doc    *config.Document
}
