package table

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/hickorybank/hickorybank/internal/platform"
)

// model is a reference implementation of Table on a plain map.
type model struct {
	rows    map[string]platform.Row
	version uint64
}

func (m *model) commit(txn platform.Txn) platform.CommitResult {
	var result platform.CommitResult
	for _, c := range txn.Conditions {
		if row := m.get(c.Key); row.Version != c.Version {
			result.Conflicts = append(result.Conflicts, row)
		}
	}
	if result.Conflicts != nil {
		return result
	}
	result.Applied = true
	if len(txn.Writes) == 0 {
		return result
	}
	m.version++
	result.Version = m.version
	for _, w := range txn.Writes {
		if w.Delete {
			delete(m.rows, w.Key)
		} else {
			m.rows[w.Key] = platform.Row{Key: w.Key, Version: m.version, Value: w.Value}
		}
	}
	return result
}

func (m *model) get(key string) platform.Row {
	if row, ok := m.rows[key]; ok {
		return row
	}
	return platform.Row{Key: key}
}

func (m *model) scan(prefix, after string, limit int) []platform.Row {
	var rows []platform.Row
	for _, key := range slices.Sorted(maps.Keys(m.rows)) {
		if strings.HasPrefix(key, prefix) && key > after && len(rows) < limit {
			rows = append(rows, m.rows[key])
		}
	}
	return rows
}

func TestTableMatchesMapModel(t *testing.T) {
	keys := rapid.StringMatching(`[ab]{1,3}`)
	rapid.Check(t, func(t *rapid.T) {
		table := New()
		m := &model{rows: make(map[string]platform.Row)}
		t.Repeat(map[string]func(*rapid.T){
			"commit": func(t *rapid.T) {
				txn := drawTxn(t, keys, m)
				got, want := table.Commit(txn), m.commit(txn)
				equal(t, got, want)
			},
			"get": func(t *rapid.T) {
				key := keys.Draw(t, "key")
				equal(t, table.Get(key), m.get(key))
			},
			"scan": func(t *rapid.T) {
				prefix := rapid.StringMatching(`[ab]{0,2}`).Draw(t, "prefix")
				after := rapid.StringMatching(`[abc]{0,3}`).Draw(t, "after")
				limit := rapid.IntRange(1, 20).Draw(t, "limit")
				equal(t, table.Scan(prefix, after, limit), m.scan(prefix, after, limit))
			},
			"": func(t *rapid.T) { equal(t, table.Len(), len(m.rows)) },
		})
	})
}

func drawTxn(t *rapid.T, keys *rapid.Generator[string], m *model) platform.Txn {
	var txn platform.Txn
	for _, key := range rapid.SliceOfNDistinct(keys, 0, 2, rapid.ID[string]).Draw(t, "conditions") {
		version := m.get(key).Version
		if rapid.IntRange(0, 3).Draw(t, "stale") == 0 {
			version = rapid.Uint64Range(0, m.version).Draw(t, "version")
		}
		txn.Conditions = append(txn.Conditions, platform.Condition{Key: key, Version: version})
	}
	for _, key := range rapid.SliceOfNDistinct(keys, 0, 3, rapid.ID[string]).Draw(t, "writes") {
		w := platform.Write{Key: key, Delete: rapid.Bool().Draw(t, "delete")}
		if !w.Delete {
			w.Value = rapid.SliceOfN(rapid.Byte(), 1, 3).Draw(t, "value")
		}
		txn.Writes = append(txn.Writes, w)
	}
	return txn
}

func equal(t *rapid.T, got, want any) {
	t.Helper()
	if fmt.Sprintf("%#v", got) != fmt.Sprintf("%#v", want) {
		t.Fatalf("got %+v, want %+v", got, want)
	}
}

// A writer reads a row and is paused while the row is deleted and written again. If
// the new row reused the old version, the writer's condition would hold and its write
// would overwrite the other one.
func TestVersionsAreNeverReused(t *testing.T) {
	is := is.New(t)
	table := New()
	put := platform.Txn{Writes: []platform.Write{{Key: "a", Value: []byte("x")}}}
	first := table.Commit(put)
	table.Commit(platform.Txn{Writes: []platform.Write{{Key: "a", Delete: true}}})
	table.Commit(put)
	late := table.Commit(platform.Txn{
		Conditions: []platform.Condition{{Key: "a", Version: first.Version}},
		Writes:     []platform.Write{{Key: "a", Value: []byte("y")}},
	})
	is.True(!late.Applied)
}

func TestScanOverManyChunks(t *testing.T) {
	is := is.New(t)
	table := New()
	const rows = 5 * maxChunk
	for i := range rows {
		key := fmt.Sprintf("k/%06d", (i*7919)%rows)
		table.Commit(platform.Txn{Writes: []platform.Write{{Key: key, Value: []byte{1}}}})
	}
	is.True(len(table.keys.chunks) > 5)
	var seen int
	var after string
	for {
		page := table.Scan("k/", after, 100)
		if len(page) == 0 {
			break
		}
		for _, row := range page {
			is.True(row.Key > after)
			after = row.Key
			seen++
		}
	}
	is.Equal(seen, rows)
	for i := range rows {
		key := fmt.Sprintf("k/%06d", i)
		table.Commit(platform.Txn{Writes: []platform.Write{{Key: key, Delete: true}}})
	}
	is.Equal(len(table.keys.chunks), 0)
	is.Equal(len(table.Scan("", "", 10)), 0)
}
