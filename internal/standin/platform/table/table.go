package table

import (
	"bytes"
	"strings"

	"github.com/hickorybank/hickorybank/internal/platform"
)

// Table holds versioned rows. It is not safe for concurrent use.
type Table struct {
	rows map[string]platform.Row
	keys keyIndex
	// version is the last assigned version. All rows share one counter, so a row that
	// is deleted and written again never reuses a version. A condition on its old
	// version therefore fails.
	version uint64
}

// New returns an empty table.
func New() *Table {
	return &Table{rows: make(map[string]platform.Row)}
}

// Len returns the number of rows.
func (t *Table) Len() int { return len(t.rows) }

// Get returns a copy of a row. An absent row has Version 0.
func (t *Table) Get(key string) platform.Row {
	row, ok := t.rows[key]
	if !ok {
		return platform.Row{Key: key}
	}
	return clone(row)
}

// Scan returns copies of at most limit rows in key order, whose keys begin with
// prefix and are greater than after.
func (t *Table) Scan(prefix, after string, limit int) []platform.Row {
	var rows []platform.Row
	for key := range t.keys.from(prefix, after) {
		if len(rows) >= limit || !strings.HasPrefix(key, prefix) {
			break
		}
		rows = append(rows, clone(t.rows[key]))
	}
	return rows
}

// Commit applies all writes if every condition holds, else none. The result of a
// failed commit lists the rows whose versions differ.
func (t *Table) Commit(txn platform.Txn) platform.CommitResult {
	conflicts := t.conflicts(txn.Conditions)
	if len(conflicts) > 0 {
		return platform.CommitResult{Conflicts: conflicts}
	}
	if len(txn.Writes) == 0 {
		return platform.CommitResult{Applied: true}
	}
	t.version++
	for _, w := range txn.Writes {
		t.apply(w)
	}
	return platform.CommitResult{Applied: true, Version: t.version}
}

// conflicts returns the rows whose versions differ from those in the conditions.
func (t *Table) conflicts(conditions []platform.Condition) []platform.Row {
	var rows []platform.Row
	for _, c := range conditions {
		if t.rows[c.Key].Version != c.Version {
			rows = append(rows, t.Get(c.Key))
		}
	}
	return rows
}

// apply makes one write, with the current version.
func (t *Table) apply(w platform.Write) {
	_, present := t.rows[w.Key]
	if w.Delete {
		delete(t.rows, w.Key)
		if present {
			t.keys.remove(w.Key)
		}
		return
	}
	t.rows[w.Key] = platform.Row{
		Key:     w.Key,
		Version: t.version,
		Value:   bytes.Clone(w.Value),
	}
	if !present {
		t.keys.insert(w.Key)
	}
}

// clone returns a copy of a row that does not share its value.
func clone(row platform.Row) platform.Row {
	row.Value = bytes.Clone(row.Value)
	return row
}
