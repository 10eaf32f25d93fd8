package gateway

import (
	"context"
	"errors"
	"log/slog"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/hickorybank/hickorybank/internal/crashguard"
	"github.com/hickorybank/hickorybank/internal/event"
	"github.com/hickorybank/hickorybank/internal/gossip"
	"github.com/hickorybank/hickorybank/internal/revision"
)

// The table holds a record of the evidence of crashes. Running nodes learn it from each other;
// after a loss of all nodes only the record tells which requests crash upstreams. A node that reads
// its first configuration from the table reads the record as well; messages to peers hold both.

const (
	// maxRecordAttempts bounds the attempts at one write: another node's write may come between
	// reading and writing.
	maxRecordAttempts = 3
	// maxRecordPause bounds the pause between two of them.
	maxRecordPause = 20 * time.Millisecond
	// recordLoadAttempts is how often a starting node tries to read the record.
	recordLoadAttempts = 2
	// recordPollInterval is the pause between checks whether the table is available again.
	recordPollInterval = 500 * time.Millisecond
)

// errRecordContended reports that other nodes kept writing to the record.
var errRecordContended = errors.New("record of crashes keeps changing")

// CrashRow is the row of the record of crashes.
type CrashRow struct {
	// Data is the record; empty if there is none.
	Data []byte
	// Revision is that of the row's last write; its version is 0 if there is no row.
	Revision revision.Revision
	// Clock is the table's own monotonic clock at this response.
	Clock time.Duration
}

// crashRecord is what a node knows of its part in the record of crashes.
type crashRecord struct {
	crashguard.RecordPlan
	// loaded is set once the node has read the record as it started.
	loaded bool
	// unreadable is the revision of the row that could not be decoded.
	unreadable revision.Revision
}

// followCrashRecord writes evidence of crashes to the table.
func (n *Node) followCrashRecord(ctx context.Context) {
	for ctx.Err() == nil {
		due, ok := n.crashRecordDue(time.Now())
		wait := time.Until(due)
		if ok && wait <= 0 {
			_ = n.saveCrashRecord(ctx, tableCallTimeout) // it is tried again
			continue
		}
		if !ok {
			wait = recordPollInterval
		}
		timer := time.NewTimer(wait)
		select {
		case <-ctx.Done():
			timer.Stop()
			return
		case <-n.crashRecordNews:
		case <-timer.C:
		}
		timer.Stop()
	}
}

// crashRecordDue returns when this node should write to the record; false if it need not.
func (n *Node) crashRecordDue(now time.Time) (time.Time, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	r := &n.crashRecord
	r.NoteEvidence(n.crashGuard.HasUnrecorded(now), now)
	if r.UnrecordedSince.IsZero() && !r.Unread {
		return time.Time{}, false
	}
	r.Rank, r.Unavailable = n.crashRecorderRank(), n.view.unavailable()
	return r.Due()
}

// noteOwnEvidence records that this node has found out something about a crash, which others learn
// of and the table holds soon. The caller holds mu.
func (n *Node) noteOwnEvidence() {
	n.crashRecord.Own = true
	wake(n.crashRecordNews)
	wake(n.crashNews)
}

// saveCrashRecord adds what this node knows to the record.
func (n *Node) saveCrashRecord(ctx context.Context, timeout time.Duration) (err error) {
	ctx, cancel := context.WithTimeout(withCause(ctx, CauseCrashes), timeout)
	defer cancel()
	select {
	case n.recordingCrashes <- struct{}{}:
		defer func() { <-n.recordingCrashes }()
	case <-ctx.Done():
		return ctx.Err() // no call was made
	}
	defer func() { n.noteRecordTried(err) }()
	for range maxRecordAttempts {
		began := time.Now()
		row, err := n.source.LoadCrashes(ctx)
		if err != nil {
			return err
		}
		draft := n.draftCrashRecord(row, began)
		if draft == nil {
			return nil
		}
		ok, err := n.source.SaveCrashes(ctx, draft.Data, row.Revision)
		if err != nil {
			return err
		}
		if ok {
			n.mu.Lock()
			n.crashGuard.NoteRecorded(draft)
			n.mu.Unlock()
			event.CrashesRecorded.Log(n.log, slog.Int("crashes", len(draft.Record.Crashes)), slog.Int("keys", len(draft.Record.Keys)),
				slog.Int("bytes", len(draft.Data)), slog.Duration("after", time.Since(began)))
			return nil
		}
		if !pause(ctx, rand.N(maxRecordPause)) {
			break
		}
	}
	return errRecordContended
}

// noteRecordTried records the result of an attempt to write to the record.
func (n *Node) noteRecordTried(err error) {
	if errors.Is(err, context.Canceled) {
		return // the node stops
	}
	n.mu.Lock()
	contended := errors.Is(err, errRecordContended)
	failures := n.crashRecord.NoteTry(time.Now(), err != nil && !contended)
	n.mu.Unlock()
	if !contended {
		n.sourceResult("crashes", err)
	}
	if err != nil {
		event.CrashesUnrecorded.Log(n.log, slog.Int("failures", failures), slog.String("err", err.Error()))
	}
}

// draftCrashRecord merges a row that was read by a call that began at a time, and returns the record
// to write; nil if there is nothing to add.
func (n *Node) draftCrashRecord(row CrashRow, began time.Time) *crashguard.Draft {
	n.mu.Lock()
	defer n.mu.Unlock()
	held, ok := n.mergeCrashRow(row, began, false)
	if !ok {
		return nil
	}
	d, _ := n.crashGuard.Draft(held, n.tableClock.forCrashes(), time.Now())
	return d
}

// mergeCrashRow merges a row of the record and returns it. It returns false if the row is of an earlier
// era than the latest; the caller holds mu.
func (n *Node) mergeCrashRow(row CrashRow, began time.Time, starts bool) (held crashguard.Record, ok bool) {
	now := time.Now()
	if !n.noteEra(row.Revision, now) {
		return held, false
	}
	n.tableClock.observe(row.Clock, began, now)
	if row.Revision.Version() == 0 {
		n.crashGuard.ForgetRecorded()
		return held, true
	}
	held, err := crashguard.DecodeRecord(row.Data)
	if err != nil {
		n.crashGuard.ForgetRecorded() // the next write replaces it
		if n.crashRecord.unreadable != row.Revision {
			n.crashRecord.unreadable = row.Revision
			n.noteUnreadable([]UnreadableRow{{Key: "crashes", Err: err}})
		}
		return held, true
	}
	if n.crashGuard.MergeRecord(held, n.tableClock.forCrashes(), starts, now) {
		wake(n.crashNews)
	}
	return held, true
}

// loadCrashRecord reads the record as this node starts without a peer that knows more.
func (n *Node) loadCrashRecord(ctx context.Context) {
	var err error
	for range recordLoadAttempts {
		if err = n.tryLoadCrashRecord(ctx); err == nil {
			return
		}
	}
	n.noteRecordTried(err)
	n.mu.Lock()
	n.crashRecord.Unread = true
	n.mu.Unlock()
	wake(n.crashRecordNews)
}

func (n *Node) tryLoadCrashRecord(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(withCause(ctx, CauseCrashes), tableCallTimeout)
	defer cancel()
	began := time.Now()
	row, err := n.source.LoadCrashes(ctx)
	if err != nil {
		return err
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	_, _ = n.mergeCrashRow(row, began, true) // of an earlier era it does not count
	n.crashRecord.loaded = true
	return nil
}

// recordTrial records a trial before it is sent; it reports whether the table holds it.
func (n *Node) recordTrial(ctx context.Context, key crashguard.Key) bool {
	if err := n.saveCrashRecord(ctx, trialRecordTimeout); err != nil {
		return false
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	return !n.crashGuard.HasUnrecordedTrial(key)
}

// trialRecordTimeout bounds the recording of a trial, for which its caller waits.
const trialRecordTimeout = 300 * time.Millisecond

// crashRecorderRank returns this node's place among those that write to the record: all alive by
// rendezvous hashing. The caller holds mu.
func (n *Node) crashRecorderRank() (rank int) {
	own := recorderHash(n.settings.ID)
	for _, m := range n.roster.Alive() {
		if m.ID != n.settings.ID && recorderHash(m.ID) < own {
			rank++
		}
	}
	return rank
}

// handOver returns the node to which this one hands its own evidence of crashes; false if it has
// none or writes itself.
func (n *Node) handOver() (gossip.Member, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if !n.crashRecord.Own || n.crashRecorderRank() < crashguard.Recorders {
		return gossip.Member{}, false
	}
	all := slices.Clone(n.roster.Alive())
	slices.SortFunc(all, func(a, b gossip.Member) int {
		if recorderHash(a.ID) < recorderHash(b.ID) {
			return -1
		}
		return 1
	})
	n.crashRecord.Own = false
	return all[n.draws.IntN(crashguard.Recorders)], true
}

// recorderHash orders the nodes that write to the record of crashes.
func recorderHash(node string) uint64 { return xxhash.Sum64String(node + " records crashes") }

// RecordCrashes merges the report of a peer that does not write to the record itself, and writes it
// there. It is a method of the gossip service.
func (n *Node) RecordCrashes(in crashguard.Report) crashguard.Report {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := time.Now()
	n.mergeCrashes(in, now)
	n.noteOwnEvidence()
	return n.crashGuard.Report(now)
}
