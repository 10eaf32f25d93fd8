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

// faultyTable is a table whose commits fail at random in every way that the platform's can. Reads
// are refused at random.
type faultyTable struct {
	platform.Table
	t           *rapid.T
	delayedTxns []platform.Txn
}

// commitFault is the fault of one commit.
type commitFault int

const (
	noFault commitFault = iota
	refused
	requestLost // no effect, no answer
	answerLost  // effect, no answer
	delayed     // effect at some later call, no answer
)

func (m *faultyTable) Commit(ctx context.Context, txn platform.Txn) (platform.CommitResult, error) {
	m.commitDelayed(ctx)
	switch commitFault(rapid.IntRange(int(noFault), int(delayed)).Draw(m.t, "fault")) {
	case refused:
		return platform.CommitResult{}, platform.ErrRefused
	case requestLost:
		return platform.CommitResult{}, platform.ErrUnknown
	case answerLost:
		_, _ = m.Table.Commit(ctx, txn)
		return platform.CommitResult{}, platform.ErrUnknown
	case delayed:
		m.delayedTxns = append(m.delayedTxns, txn)
		return platform.CommitResult{}, platform.ErrUnknown
	}
	return m.Table.Commit(ctx, txn)
}

func (m *faultyTable) Get(ctx context.Context, key string) (platform.Row, error) {
	m.commitDelayed(ctx)
	if rapid.IntRange(0, 9).Draw(m.t, "read") == 0 {
		return platform.Row{}, platform.ErrRefused
	}
	return m.Table.Get(ctx, key)
}

// commitDelayed commits the oldest delayed transaction, or leaves it for a later call.
func (m *faultyTable) commitDelayed(ctx context.Context) {
	if len(m.delayedTxns) > 0 && rapid.Bool().Draw(m.t, "commitDelayed") {
		_, _ = m.Table.Commit(ctx, m.delayedTxns[0])
		m.delayedTxns = m.delayedTxns[1:]
	}
}

// outcome is what Apply returned for one change.
type outcome struct {
	result Result
	err    error
}

// Changes are sent, some of them twice, while the platform refuses commits, loses requests and
// answers, and lets commits take effect late. Every reported outcome must agree with the final log:
// an accepted change is there once, at the reported revision, a change with a conflict is not, and
// no change is there twice.
func TestReportedOutcomesMatchTheLog(t *testing.T) {
	rapid.Check(t, checkReportedOutcomes)
}

func checkReportedOutcomes(rt *rapid.T) {
	ctx := context.Background()
	inner := memory.New()
	table := &faultyTable{Table: inner, t: rt}
	store := NewStore(table)
	store.sleep = func(context.Context, time.Duration) bool { return true }
	outcomes := map[string][]outcome{}
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
		result, err := store.Apply(ctx, minimalChange(id, bases[id]))
		outcomes[id] = append(outcomes[id], outcome{result, err})
	}
	for len(table.delayedTxns) > 0 {
		_, _ = inner.Commit(ctx, table.delayedTxns[0])
		table.delayedTxns = table.delayedTxns[1:]
	}
	checkLog(rt, inner, outcomes)
}

func minimalChange(id string, base uint64) Change {
	return Change{ID: id, Base: base, Digest: id, Edit: func(*config.Document) (*config.Document, error) {
		return &config.Document{Preset: id, Presets: []config.Preset{{Name: id}}}, nil
	}}
}

func checkLog(rt *rapid.T, table platform.Table, outcomes map[string][]outcome) {
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
	for id, reported := range outcomes {
		for _, o := range reported {
			checkOutcome(rt, id, o, applied)
		}
		if len(reported) == 1 && isRefusal(reported[0].err) && applied[id] != 0 {
			rt.Fatalf("%s was reported as refused, but the log has it", id)
		}
	}
}

func isRefusal(err error) bool {
	return errors.Is(err, platform.ErrRefused) && !errors.Is(err, platform.ErrUnknown)
}

func checkOutcome(rt *rapid.T, id string, o outcome, applied map[string]uint64) {
	revision, isApplied := applied[id]
	switch {
	case o.err != nil:
		if !errors.Is(o.err, platform.ErrUnknown) && !errors.Is(o.err, platform.ErrRefused) {
			rt.Fatalf("%s: %v", id, o.err)
		}
	case o.result.Verdict == Accepted, o.result.Verdict == Replayed:
		if !isApplied || revision != o.result.Record.Revision {
			rt.Fatalf("%s was reported as revision %d, but the log has revision %d", id, o.result.Record.Revision, revision)
		}
	case isApplied:
		rt.Fatalf("%s was reported as a conflict, but the log has it as revision %d", id, revision)
	}
}

// A commit that the platform refuses is reported as refused, and its change does not appear later.
func TestRefusedCommitChangesNothing(t *testing.T) {
	is := is.New(t)
	table := &refusingTable{Table: memory.New()}
	_, err := NewStore(table).Apply(context.Background(), minimalChange("c", 0))
	is.True(isRefusal(err))
	records, err := NewStore(table.Table).Recent(context.Background(), 9)
	is.NoErr(err)
	is.Equal(len(records), 0)
}

type refusingTable struct{ platform.Table }

func (r *refusingTable) Commit(context.Context, platform.Txn) (platform.CommitResult, error) {
	return platform.CommitResult{}, platform.ErrRefused
}

// If an operator replaces an unreadable document, a delta would be computed from an empty
// document. Nodes that still hold the original would apply it to that, and end up with
// another configuration than the stored one. So such a change must have no delta, and
// nodes read the whole document.
func TestReplacingAnUnreadableDocumentStoresNoDelta(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	inner := memory.New()
	store := NewStore(inner)
	for i := range uint64(2) {
		_, err := store.Apply(ctx, minimalChange(fmt.Sprintf("c%d", i+1), i))
		is.NoErr(err)
	}
	row, err := inner.Get(ctx, confsync.DeltaKey(2))
	is.NoErr(err)
	is.True(row.Version > 0) // an ordinary change has a delta
	row, err = inner.Get(ctx, DocKey(2))
	is.NoErr(err)
	_, err = inner.Commit(ctx, platform.Txn{
		Conditions: []platform.Condition{{Key: DocKey(2), Version: row.Version}},
		Writes:     []platform.Write{{Key: DocKey(2), Value: []byte("{")}},
	})
	is.NoErr(err)
	change := minimalChange("c3", 2)
	change.Replaces = true
	result, err := store.Apply(ctx, change)
	is.NoErr(err)
	is.Equal(result.Verdict, Accepted)
	row, err = inner.Get(ctx, confsync.DeltaKey(3))
	is.NoErr(err)
	is.Equal(row.Version, uint64(0))
}

func TestExpiredDocumentsAndRecordsAreDeleted(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	inner := memory.New()
	store := NewStore(inner)
	store.keep = retention{documents: 3, records: 5}
	const last = 20
	for i := range uint64(last) {
		result, err := store.Apply(ctx, minimalChange(fmt.Sprintf("c%d", i+1), i))
		is.NoErr(err)
		is.Equal(result.Verdict, Accepted)
	}
	rows, err := inner.Scan(ctx, "config/", "", 100)
	is.NoErr(err)
	is.Equal(len(rows), 1+3+3+5+5) // head, documents, deltas, log, change ids
	doc, err := store.Document(ctx, last-2)
	is.NoErr(err)
	is.Equal(doc.Preset, "c18")
	expired, err := store.Document(ctx, last-3)
	is.NoErr(err)
	is.True(expired == nil)
	records, err := store.Recent(ctx, 2)
	is.NoErr(err)
	is.Equal(records[0].Revision, uint64(last))
	is.Equal(len(records), 2)
}

// If the stored document is unreadable, for example because another program overwrote it, an
// operator must still be able to replace it.
func TestUnreadableDocumentCanBeReplaced(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	inner := memory.New()
	store := NewStore(inner)
	_, err := store.Apply(ctx, minimalChange("a", 0))
	is.NoErr(err)
	row, err := inner.Get(ctx, DocKey(1))
	is.NoErr(err)
	_, err = inner.Commit(ctx, platform.Txn{
		Conditions: []platform.Condition{{Key: DocKey(1), Version: row.Version}},
		Writes:     []platform.Write{{Key: DocKey(1), Value: []byte("{")}},
	})
	is.NoErr(err)
	_, err = store.Apply(ctx, minimalChange("b", 1))
	is.True(err != nil) // this change edits the unreadable document
	replacement := minimalChange("c", 1)
	replacement.Replaces = true
	result, err := store.Apply(ctx, replacement)
	is.NoErr(err)
	is.Equal(result.Verdict, Accepted)
}
