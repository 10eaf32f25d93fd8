package admin

import (
	"context"
	"encoding/json"
	"time"

	"github.com/rotisserie/eris"

	"github.com/hickorybank/hickorybank/internal/config"
	"github.com/hickorybank/hickorybank/internal/platform"
)

// Store reads and changes the configuration in the platform's table.
type Store struct {
	table platform.Table
	keep  retention
	// sleep waits between two attempts. It returns false if the context ended first.
	sleep func(ctx context.Context, d time.Duration) bool
}

// NewStore returns a store that keeps the configuration in the table.
func NewStore(table platform.Table) *Store {
	return &Store{
		table: table,
		keep:  retention{documents: retainedDocuments, records: retainedRecords},
		sleep: sleep,
	}
}

// Load returns the snapshot of the stored configuration, or nil if none is stored.
func (s *Store) Load(ctx context.Context) (*config.Snapshot, error) {
	head, doc, err := s.Current(ctx)
	if err != nil || doc == nil {
		return nil, err
	}
	return config.Compile(head.Revision, doc)
}

// Current returns the head and its document. The document is nil if none is stored.
func (s *Store) Current(ctx context.Context) (Head, *config.Document, error) {
	head, _, err := s.Head(ctx)
	if err != nil || head.Revision == 0 {
		return head, nil, err
	}
	doc, err := s.Document(ctx, head.Revision)
	return head, doc, err
}

// Head returns the head and the version of its row. Both are zero if no configuration is stored.
func (s *Store) Head(ctx context.Context) (Head, uint64, error) {
	var head Head
	row, err := s.table.Get(ctx, HeadKey)
	if err != nil {
		return head, 0, eris.Wrap(err, "read head")
	}
	if row.Version == 0 {
		return head, 0, nil
	}
	return head, row.Version, eris.Wrap(json.Unmarshal(row.Value, &head), "decode head")
}

// Document returns a revision's document, or nil if it is not, or no longer, stored.
func (s *Store) Document(ctx context.Context, revision uint64) (*config.Document, error) {
	row, err := s.table.Get(ctx, DocKey(revision))
	if err != nil {
		return nil, eris.Wrap(err, "read document")
	}
	if row.Version == 0 {
		return nil, nil
	}
	return config.Parse(row.Value)
}

// Put stores the document as the revision after base, with writer as the change's id. Applied is
// false if another change was accepted first; head is then the current one.
func (s *Store) Put(ctx context.Context, base uint64, doc *config.Document, writer string) (head Head, applied bool, err error) {
	result, err := s.Apply(ctx, Change{
		ID: writer, Base: base, Replaces: true,
		Edit: func(*config.Document) (*config.Document, error) { return doc, nil },
	})
	if err != nil {
		return head, false, err
	}
	applied = result.Verdict == Accepted || result.Verdict == Replayed
	return result.Head, applied, nil
}
