package admin

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/hickorybank/hickorybank/internal/config"
	"github.com/hickorybank/hickorybank/internal/confsync"
	"github.com/hickorybank/hickorybank/internal/platform"
	"github.com/hickorybank/hickorybank/internal/standin/platform/memory"
)

// moody is a table whose commits fail in every way that the platform's may.
type moody struct {
	platform.Table
	t    *rapid.T
	late []platform.Txn
}

// mood is how one commit goes.
type mood int

const (
	well mood = iota
	refused
	dropped // no effect, no answer
	ackLost // effect, no answer
	late    // effect at some later call, no answer
)

func (m *moody) Commit(ctx context.Context, txn platform.Txn) (platform.CommitResult, error) {
	m.settle(ctx)
	switch mood(rapid.IntRange(int(well), int(late)).Draw(m.t, "mood")) {
	case refused:
		return platform.CommitResult{}, platform.ErrRefused
	case dropped:
		return platform.CommitResult{}, platform.ErrUnknown
	case ackLost:
		_, _ = m.Table.Commit(ctx, txn)
		return platform.CommitResult{}, platform.ErrUnknown
	case late:
		m.late = append(m.late, txn)
		return platform.CommitResult{}, platform.ErrUnknown
	}
	return m.Table.Commit(ctx, txn)
}

func (m *moody) Get(ctx context.Context, key string) (platform.Row, error) {
	m.settle(ctx)
	if rapid.IntRange(0, 9).Draw(m.t, "read") == 0 {
		return platform.Row{}, platform.ErrRefused
	}
	return m.Table.Get(ctx, key)
}

// settle lets a late commit take effect, or not yet.
func (m *moody) settle(ctx context.Context) {
	if len(m.late) > 0 && rapid.Bool().Draw(m.t, "settles") {
		_, _ = m.Table.Commit(ctx, m.late[0])
		m.late = m.late[1:]
	}
}

// told is what the operator heard of one change.
type told struct {
	result Result
	err    error
}

// Operators send changes, some of them twice, while the platform refuses,
// drops, loses answers and lets writes take effect late. Whatever an operator
// was told must be true in the end: "accepted" is in the log once, at its
// revision; "another came first" never is; and no change is there twice.
func TestWhatOperatorsAreToldIsTrue(t *testing.T) {
	rapid.Check(t, checkTold)
}

func checkTold(rt *rapid.T) {
	ctx := context.Background()
	inner := memory.New()
	table := &moody{Table: inner, t: rt}
	store := NewStore(table)
	store.pause = func(context.Context, time.Duration) bool { return true }
	heard := map[string][]told{}
	bases := map[string]uint64{}
	for range rapid.IntRange(1, 12).Draw(rt, "sends") {
		id := fmt.Sprintf("c%d", rapid.IntRange(0, 5).Draw(rt, "id"))
		if _, sent := bases[id]; !sent {
			head, _, err := NewStore(inner).Head(ctx)
			if err != nil {
				rt.Fatal(err)
			}
			bases[id] = head.Revision
		}
		result, err := store.Apply(ctx, smallChange(id, bases[id]))
		heard[id] = append(heard[id], told{result, err})
	}
	for len(table.late) > 0 {
		_, _ = inner.Commit(ctx, table.late[0])
		table.late = table.late[1:]
	}
	checkLog(rt, inner, heard)
}

func smallChange(id string, base uint64) Change {
	return Change{ID: id, Base: base, Digest: id, Edit: func(*config.Document) (*config.Document, error) {
		return &config.Document{Preset: id, Presets: []config.Preset{{Name: id}}}, nil
	}}
}

func checkLog(rt *rapid.T, table platform.Table, heard map[string][]told) {
	store := NewStore(table)
	records, err := store.Recent(context.Background(), maxRecords)
	if err != nil {
		rt.Fatal(err)
	}
	applied := map[string]uint64{}
	for i, r := range records {
		if _, twice := applied[r.Change]; twice {
			rt.Fatalf("%s is in the log twice", r.Change)
		}
		if r.Revision != uint64(len(records)-i) || r.Base != r.Revision-1 {
			rt.Fatalf("gap in the log at %+v", r)
		}
		applied[r.Change] = r.Revision
	}
	for id, all := range heard {
		for _, one := range all {
			checkOne(rt, id, one, applied)
		}
		if len(all) == 1 && refusedOnly(all[0].err) && applied[id] != 0 {
			rt.Fatalf("%s was told that it changed nothing; the log has it", id)
		}
	}
}

func refusedOnly(err error) bool {
	return errors.Is(err, platform.ErrRefused) && !errors.Is(err, platform.ErrUnknown)
}

func checkOne(rt *rapid.T, id string, one told, applied map[string]uint64) {
	revision, isApplied := applied[id]
	switch {
	case one.err != nil:
		if !errors.Is(one.err, platform.ErrUnknown) && !errors.Is(one.err, platform.ErrRefused) {
			rt.Fatalf("%s: %v", id, one.err)
		}
	case one.result.Verdict == Accepted, one.result.Verdict == Replayed:
		if !isApplied || revision != one.result.Record.Revision {
			rt.Fatalf("%s was told revision %d; the log has %d", id, one.result.Record.Revision, revision)
		}
	case isApplied:
		rt.Fatalf("%s was told that another came first; the log has it as %d", id, revision)
	}
}

// A call that was refused before anything left says so, and nothing of it
// appears later.
func TestRefusedChangeChangesNothing(t *testing.T) {
	is := is.New(t)
	table := &refusing{Table: memory.New()}
	_, err := NewStore(table).Apply(context.Background(), smallChange("c", 0))
	is.True(refusedOnly(err))
	records, err := NewStore(table.Table).Recent(context.Background(), 9)
	is.NoErr(err)
	is.Equal(len(records), 0)
}

type refusing struct{ platform.Table }

func (r *refusing) Commit(context.Context, platform.Txn) (platform.CommitResult, error) {
	return platform.CommitResult{}, platform.ErrRefused
}

// A configuration is in force with another document than the stored one. The
// stored document of a revision is unreadable, an operator replaces it, and nodes
// that still hold the real one apply a delta made from nothing. Such a change
// must come without a delta, so that nodes read the whole document.
func TestReplacingAnUnreadableDocumentStoresNoDelta(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	inner := memory.New()
	store := NewStore(inner)
	for i := range uint64(2) {
		_, err := store.Apply(ctx, smallChange(fmt.Sprintf("c%d", i+1), i))
		is.NoErr(err)
	}
	row, err := inner.Get(ctx, confsync.DeltaKey(2))
	is.NoErr(err)
	is.True(row.Version > 0) // an ordinary change has one
	row, err = inner.Get(ctx, DocKey(2))
	is.NoErr(err)
	_, err = inner.Commit(ctx, platform.Txn{
		Conditions: []platform.Condition{{Key: DocKey(2), Version: row.Version}},
		Writes:     []platform.Write{{Key: DocKey(2), Value: []byte("{")}},
	})
	is.NoErr(err)
	change := smallChange("c3", 2)
	change.Replaces = true
	result, err := store.Apply(ctx, change)
	is.NoErr(err)
	is.Equal(result.Verdict, Accepted)
	row, err = inner.Get(ctx, confsync.DeltaKey(3))
	is.NoErr(err)
	is.Equal(row.Version, uint64(0))
}

func TestPastIsKeptAndDropped(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	inner := memory.New()
	store := NewStore(inner)
	store.keep = retention{documents: 3, records: 5}
	const last = 20
	for i := range uint64(last) {
		result, err := store.Apply(ctx, smallChange(fmt.Sprintf("c%d", i+1), i))
		is.NoErr(err)
		is.Equal(result.Verdict, Accepted)
	}
	rows, err := inner.Scan(ctx, "config/", "", 100)
	is.NoErr(err)
	is.Equal(len(rows), 1+3+3+5+5) // head, documents, deltas, log, change ids
	doc, err := store.Document(ctx, last-2)
	is.NoErr(err)
	is.Equal(doc.Preset, "c18")
	gone, err := store.Document(ctx, last-3)
	is.NoErr(err)
	is.True(gone == nil)
	records, err := store.Recent(ctx, 2)
	is.NoErr(err)
	is.Equal(records[0].Revision, uint64(last))
	is.Equal(len(records), 2)
}

// The stored document cannot be read, say after a mistake of another program.
// An operator must still be able to put a good one in its place.
func TestUnreadableDocumentCanBeReplaced(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	inner := memory.New()
	store := NewStore(inner)
	_, err := store.Apply(ctx, smallChange("a", 0))
	is.NoErr(err)
	row, err := inner.Get(ctx, DocKey(1))
	is.NoErr(err)
	_, err = inner.Commit(ctx, platform.Txn{
		Conditions: []platform.Condition{{Key: DocKey(1), Version: row.Version}},
		Writes:     []platform.Write{{Key: DocKey(1), Value: []byte("{")}},
	})
	is.NoErr(err)
	_, err = store.Apply(ctx, smallChange("b", 1))
	is.True(err != nil) // it looks at the old one
	whole := smallChange("c", 1)
	whole.Replaces = true
	result, err := store.Apply(ctx, whole)
	is.NoErr(err)
	is.Equal(result.Verdict, Accepted)
}
