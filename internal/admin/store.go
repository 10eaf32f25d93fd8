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
	// pause waits between two attempts; false when the context ended first.
	pause func(ctx context.Context, d time.Duration) bool
}

// NewStore returns a store over a table.
func NewStore(table platform.Table) *Store {
	return &Store{
		table: table,
		keep:  retention{documents: keepDocuments, records: keepRecords},
		pause: pause,
	}
}

// Load returns the stored configuration's snapshot, or nil when there is none.
func (s *Store) Load(ctx context.Context) (*config.Snapshot, error) {
	head, doc, err := s.Current(ctx)
	if err != nil || doc == nil {
		return nil, err
	}
	return config.Compile(head.Revision, doc)
}

// Current returns the head and its document, nil when none is stored.
func (s *Store) Current(ctx context.Context) (Head, *config.Document, error) {
	head, _, err := s.Head(ctx)
	if err != nil || head.Revision == 0 {
		return head, nil, err
	}
	doc, err := s.Document(ctx, head.Revision)
	return head, doc, err
}

// Head returns the head and its row version; revision 0 means none is stored.
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

// Document returns a revision's document, nil when it is not or no longer
// stored.
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

// Put stores the document as the revision after base. Applied is false when
// another change came first; head is then the present one.
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
