package confsync

import (
	"context"

	"github.com/hickorybank/hickorybank/internal/archive"
)

// Store reads the stored configuration. Package tablestore implements it over the platform's
// table. Reads of the head must be linearizable: a read observes each change that was
// acknowledged before the read began.
type Store interface {
	// Head reads the head row: the newest accepted revision, or 0 if there is none.
	Head(ctx context.Context) (uint64, error)
	// Document reads the encoded document of a revision.
	Document(ctx context.Context, revision uint64) ([]byte, error)
	// Deltas reads the stored deltas of the revisions above after and up to upTo, in order.
	// It returns no deltas if they are not stored.
	Deltas(ctx context.Context, after, upTo uint64) ([]archive.Delta, error)
}
