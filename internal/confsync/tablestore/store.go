package tablestore

import (
	"context"
	"encoding/json"

	"github.com/rotisserie/eris"

	"github.com/hickorybank/hickorybank/internal/admin"
	"github.com/hickorybank/hickorybank/internal/archive"
	"github.com/hickorybank/hickorybank/internal/confsync"
	"github.com/hickorybank/hickorybank/internal/platform"
)

// maxDeltas is the maximum number of deltas read at once. A reader that is further behind
// reads the full document.
const maxDeltas = 16

// Store is a [confsync.Store] that reads a platform's table.
type Store struct {
	table platform.Table
}

var _ confsync.Store = (*Store)(nil)

// New returns a store that reads the table.
func New(table platform.Table) *Store { return &Store{table: table} }

// Head implements [confsync.Store]. It returns 0 while no head row is stored.
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

// Document implements [confsync.Store]. A missing document is an error.
func (s *Store) Document(ctx context.Context, revision uint64) ([]byte, error) {
	row, err := s.table.Get(ctx, admin.DocKey(revision))
	if err != nil {
		return nil, eris.Wrapf(err, "read document of revision %d", revision)
	}
	if row.Version == 0 {
		return nil, eris.Errorf("document of revision %d is missing", revision)
	}
	return row.Value, nil
}

// Deltas implements [confsync.Store]. It returns none for more than 16 revisions.
func (s *Store) Deltas(ctx context.Context, after, upTo uint64) ([]archive.Delta, error) {
	if after >= upTo || upTo-after > maxDeltas {
		return nil, nil
	}
	rows, err := s.table.Scan(ctx, confsync.DeltaPrefix, confsync.DeltaKey(after), int(upTo-after))
	if err != nil {
		return nil, eris.Wrapf(err, "read deltas of revisions %d to %d", after+1, upTo)
	}
	deltas := make([]archive.Delta, 0, len(rows))
	for _, row := range rows {
		d, err := confsync.DecodeDelta(row.Value)
		if err != nil {
			return nil, err
		}
		if d.To <= upTo {
			deltas = append(deltas, d)
		}
	}
	return deltas, nil
}
