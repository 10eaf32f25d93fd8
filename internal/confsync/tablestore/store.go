package tablestore

import (
	"context"
	"encoding/json"
	"fmt"

	"github.com/rotisserie/eris"

	"github.com/hickorybank/hickorybank/internal/admin"
	"github.com/hickorybank/hickorybank/internal/confsync"
	"github.com/hickorybank/hickorybank/internal/platform"
)

const (
	// DeltaPrefix is the prefix of the rows with deltas.
	DeltaPrefix = "config/delta/"
	// maxDeltas bounds the deltas read at once; a reader that is further
	// behind reads the whole document.
	maxDeltas = 16
)

// DeltaKey is the row of the delta that leads to a revision from the one
// before. Keys sort by revision.
func DeltaKey(revision uint64) string { return fmt.Sprintf("%s%020d", DeltaPrefix, revision) }

// EncodeDelta is the value of a delta's row. The writer of a revision may
// store it with the document in one transaction; without it readers read the
// whole document.
func EncodeDelta(d confsync.Delta) ([]byte, error) {
	value, err := json.Marshal(d)
	return value, eris.Wrap(err, "encode delta")
}

// Store is a [confsync.Store] over a table.
type Store struct {
	table platform.Table
}

var _ confsync.Store = (*Store)(nil)

// New returns a store over the table.
func New(table platform.Table) *Store { return &Store{table: table} }

// Head implements [confsync.Store].
func (s *Store) Head(ctx context.Context) (uint64, error) {
	row, err := s.table.Get(ctx, admin.HeadKey)
	if err != nil {
		return 0, eris.Wrap(err, "read head")
	}
	if row.Version == 0 {
		return 0, nil
	}
	var head admin.Head
	if err := json.Unmarshal(row.Value, &head); err != nil {
		return 0, eris.Wrap(err, "decode head")
	}
	return head.Revision, nil
}

// Document implements [confsync.Store].
func (s *Store) Document(ctx context.Context, revision uint64) ([]byte, error) {
	row, err := s.table.Get(ctx, admin.DocKey(revision))
	if err != nil {
		return nil, eris.Wrap(err, "read document")
	}
	if row.Version == 0 {
		return nil, eris.Errorf("document of revision %d is missing", revision)
	}
	return row.Value, nil
}

// Deltas implements [confsync.Store].
func (s *Store) Deltas(ctx context.Context, after, upTo uint64) ([]confsync.Delta, error) {
	if after >= upTo || upTo-after > maxDeltas {
		return nil, nil
	}
	rows, err := s.table.Scan(ctx, DeltaPrefix, DeltaKey(after), int(upTo-after))
	if err != nil {
		return nil, eris.Wrap(err, "read deltas")
	}
	deltas := make([]confsync.Delta, 0, len(rows))
	for _, row := range rows {
		var d confsync.Delta
		if err := json.Unmarshal(row.Value, &d); err != nil {
			return nil, eris.Wrap(err, "decode "+row.Key)
		}
		if d.To <= upTo {
			deltas = append(deltas, d)
		}
	}
	return deltas, nil
}
