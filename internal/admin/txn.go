package admin

import (
	"context"
	"encoding/json"

	"github.com/hickorybank/hickorybank/internal/archive"
	"github.com/hickorybank/hickorybank/internal/config"
	"github.com/hickorybank/hickorybank/internal/confsync"
	"github.com/hickorybank/hickorybank/internal/platform"
)

// How much of the past is kept. A reader needs the document of a head that it
// has just read; the log answers for changes for two days at some 9,000 a day.
const (
	keepDocuments = 256
	keepRecords   = 16384
	// pruneStep is how many records a change may drop; more than the one that
	// it adds, so that the log shrinks again after a prune that failed.
	pruneStep = 2
)

// retention is how many revisions' documents and records are kept.
type retention struct {
	documents uint64
	records   uint64
}

func headOf(r Record) Head {
	return Head{Revision: r.Revision, Preset: r.Preset, Writer: r.Change}
}

// changeTxn is the transaction of a change whose head row has the version.
// Before has no preset when there was no document, or none that could be read:
// nodes may hold another one then, to which a delta would not fit.
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
		{changeKey(r.Change), pointer{Revision: r.Revision}},
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

// deltaWrite stores what the change changed, so that nodes that have the
// revision before need not read the whole document.
func deltaWrite(r Record, before, doc *config.Document) (platform.Write, error) {
	old, err := json.Marshal(before)
	if err != nil {
		return platform.Write{}, err
	}
	young, err := json.Marshal(doc)
	if err != nil {
		return platform.Write{}, err
	}
	delta, err := archive.MakeDelta(r.Base, r.Revision, old, young)
	if err != nil {
		return platform.Write{}, err
	}
	value, err := confsync.EncodeDelta(delta)
	return platform.Write{Key: confsync.DeltaKey(r.Revision), Value: value}, err
}

// outdated returns the deletions that a revision brings with it. Without an
// answer from the table it leaves the log as it is; a later change catches up.
func (s *Store) outdated(ctx context.Context, revision uint64) []platform.Write {
	var drop []platform.Write
	if revision > s.keep.documents {
		past := revision - s.keep.documents
		drop = append(drop,
			platform.Write{Key: DocKey(past), Delete: true},
			platform.Write{Key: confsync.DeltaKey(past), Delete: true},
		)
	}
	if revision <= s.keep.records {
		return drop
	}
	rows, err := s.table.Scan(ctx, logPrefix, "", pruneStep)
	if err != nil {
		return drop
	}
	for _, row := range rows {
		var r Record
		if json.Unmarshal(row.Value, &r) != nil || r.Revision+s.keep.records > revision {
			continue
		}
		drop = append(drop, platform.Write{Key: row.Key, Delete: true}, platform.Write{Key: changeKey(r.Change), Delete: true})
	}
	return drop
}
