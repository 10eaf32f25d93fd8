package admin

import (
	"context"
	"encoding/json"
	"strconv"

	"github.com/rotisserie/eris"

	"github.com/hickorybank/hickorybank/internal/config"
	"github.com/hickorybank/hickorybank/internal/platform"
)

// HeadKey is the row that decides the order of configurations.
const HeadKey = "config/head"

// Head is the value of the head row.
type Head struct {
	Revision uint64 `json:"revision"`
	Preset   string `json:"preset"`
	// Writer is unique to the change, so that a change whose
	// acknowledgement was lost can be recognised by reading the row.
	Writer string `json:"writer"`
}

// DocKey is the row of a revision's document.
func DocKey(revision uint64) string { return "config/doc/" + strconv.FormatUint(revision, 10) }

// Store reads and changes the configuration in the platform's table.
type Store struct {
	table platform.Table
}

// NewStore returns a store over a table.
func NewStore(table platform.Table) *Store { return &Store{table: table} }

// Load returns the stored configuration's snapshot, or nil when there is none.
func (s *Store) Load(ctx context.Context) (*config.Snapshot, error) {
	head, _, err := s.Head(ctx)
	if err != nil || head.Revision == 0 {
		return nil, err
	}
	row, err := s.table.Get(ctx, DocKey(head.Revision))
	if err != nil {
		return nil, eris.Wrap(err, "read document")
	}
	doc, err := config.Parse(row.Value)
	if err != nil {
		return nil, err
	}
	return config.Compile(head.Revision, doc)
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

// Put stores the document as the revision after base. Applied is false when
// another change came first; head is then the present one.
func (s *Store) Put(ctx context.Context, base uint64, doc *config.Document, writer string) (head Head, applied bool, err error) {
	if faults := doc.Validate(); len(faults) > 0 {
		return head, false, faults
	}
	head, version, err := s.Head(ctx)
	if err != nil || head.Revision != base {
		return head, false, err
	}
	next := Head{Revision: base + 1, Preset: doc.Preset, Writer: writer}
	txn, err := putTxn(next, version, doc)
	if err != nil {
		return head, false, err
	}
	result, err := s.table.Commit(ctx, txn)
	if err != nil {
		return head, false, eris.Wrap(err, "commit configuration")
	}
	if !result.Applied {
		head, _, err = s.Head(ctx)
		return head, false, err
	}
	return next, true, nil
}

func putTxn(next Head, version uint64, doc *config.Document) (platform.Txn, error) {
	headValue, err := json.Marshal(next)
	if err != nil {
		return platform.Txn{}, err
	}
	docValue, err := json.Marshal(doc)
	if err != nil {
		return platform.Txn{}, err
	}
	return platform.Txn{
		Conditions: []platform.Condition{{Key: HeadKey, Version: version}},
		Writes:     []platform.Write{{Key: HeadKey, Value: headValue}, {Key: DocKey(next.Revision), Value: docValue}},
	}, nil
}
