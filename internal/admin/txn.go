package admin

import (
	"context"
	"encoding/json"

	"github.com/hickorybank/hickorybank/internal/archive"
	"github.com/hickorybank/hickorybank/internal/config"
	"github.com/hickorybank/hickorybank/internal/confsync"
	"github.com/hickorybank/hickorybank/internal/platform"
)

// Retention of past revisions.
const (
	// retainedDocuments must be enough for a reader to get the document of the head that it has
	// just read.
	retainedDocuments = 256
	// retainedRecords covers nearly two days of changes at 9,000 a day.
	retainedRecords = 16384
	// maxPrunedRecords is how many records a change may delete. It is above the one record that a
	// change adds, so that the log shrinks again after a failed deletion.
	maxPrunedRecords = 2
)

// retention is the number of revisions whose documents and records are kept.
type retention struct {
	documents uint64
	records   uint64
}

func headOf(r Record) Head {
	return Head{Revision: r.Revision, Preset: r.Preset, Writer: r.Change}
}

// changeTxn returns the transaction of a change, given the version of the head row. Before is empty
// if there was no document or it was unreadable. The transaction then has no delta, because nodes
// may hold a document that the delta does not apply to.
func changeTxn(r Record, version uint64, before, doc *config.Document) (platform.Txn, error) {
	txn := platform.Txn{Conditions: []platform.Condition{
		{Key: HeadKey, Version: version},
		{Key: changeKey(r.Change)},
	}}
	rows := []struct {
		key   string
		value any
	}{
		{HeadKey, headOf(r)},
		{DocKey(r.Revision), doc},
		{logKey(r.Revision), r},
		{changeKey(r.Change), changeRow{Revision: r.Revision}},
	}
	for _, row := range rows {
		value, err := json.Marshal(row.value)
		if err != nil {
			return platform.Txn{}, err
		}
		txn.Writes = append(txn.Writes, platform.Write{Key: row.key, Value: value})
	}
	if before.Preset == "" {
		return txn, nil
	}
	delta, err := deltaWrite(r, before, doc)
	if err != nil {
		return platform.Txn{}, err
	}
	txn.Writes = append(txn.Writes, delta)
	return txn, nil
}

// deltaWrite returns the write of the delta between two documents. Nodes that hold the previous
// revision read the delta instead of the whole document.
func deltaWrite(r Record, before, doc *config.Document) (platform.Write, error) {
	oldJSON, err := json.Marshal(before)
	if err != nil {
		return platform.Write{}, err
	}
	newJSON, err := json.Marshal(doc)
	if err != nil {
		return platform.Write{}, err
	}
	delta, err := archive.MakeDelta(r.Base, r.Revision, oldJSON, newJSON)
	if err != nil {
		return platform.Write{}, err
	}
	value, err := confsync.EncodeDelta(delta)
	return platform.Write{Key: confsync.DeltaKey(r.Revision), Value: value}, err
}

// expiredRows returns the deletions of rows that fall out of retention with a revision. If the log
// cannot be read, its records are left for a later change to delete.
func (s *Store) expiredRows(ctx context.Context, revision uint64) []platform.Write {
	var deletions []platform.Write
	if revision > s.keep.documents {
		expired := revision - s.keep.documents
		deletions = append(deletions,
			platform.Write{Key: DocKey(expired), Delete: true},
			platform.Write{Key: confsync.DeltaKey(expired), Delete: true},
		)
	}
	if revision <= s.keep.records {
		return deletions
	}
	rows, err := s.table.Scan(ctx, logPrefix, "", maxPrunedRecords)
	if err != nil {
		return deletions
	}
	for _, row := range rows {
		var r Record
		if json.Unmarshal(row.Value, &r) != nil || r.Revision+s.keep.records > revision {
			continue
		}
		deletions = append(deletions, platform.Write{Key: row.Key, Delete: true}, platform.Write{Key: changeKey(r.Change), Delete: true})
	}
	return deletions
}
