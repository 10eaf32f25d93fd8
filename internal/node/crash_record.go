package node

import (
	"context"
	"encoding/json"
	"errors"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/hickorybank/hickorybank/internal/crashguard"
	"github.com/hickorybank/hickorybank/internal/event"
	"github.com/hickorybank/hickorybank/internal/platform"
)

const (
	// crashRowKey is the key of the row that holds the record of crashes.
	crashRowKey = "crashes"
	// maxRecordedSuspects bounds the suspects in that row.
	maxRecordedSuspects = 128
	// crashRecordTimeout bounds a call of the table for it, maxCrashRecordAttempts the attempts at
	// one write beside those of other nodes.
	crashRecordTimeout     = time.Second
	maxCrashRecordAttempts = 3
	// crashRecordPoll is the pause between checks for evidence of other nodes.
	crashRecordPoll = 500 * time.Millisecond
	// crashRecordStart bounds the time after its start in which a node waits for the record,
	// crashViewWait that in which it waits for the list of nodes, at which it looks each
	// crashViewPoll.
	crashRecordStart = time.Second
	crashViewWait    = 200 * time.Millisecond
	crashViewPoll    = 20 * time.Millisecond
)

var errCrashRecordContended = errors.New("record of crashes keeps changing")

// wallClock is the clock of the record: the table of the entry nodes states no time of its own.
var wallClock = crashguard.TableClock{Origin: time.Unix(0, 0)}

// crashRecord keeps the record of crashes in the platform's table. Running nodes know its content from
// each other; it tells nodes that start after a loss of all of them.
type crashRecord struct {
	node *Node
	news chan struct{}
	// known is set once this node knows the record, or need not wait for it.
	known atomic.Bool

	mu   sync.Mutex
	plan crashguard.RecordPlan
	// written are the suspects that the row held when this node last read or wrote it.
	written []suspectRow
}

func newCrashRecord(n *Node) *crashRecord {
	return &crashRecord{node: n, news: make(chan struct{}, 1)}
}

// noteEvidence records that this node has found out something about a crash.
func (r *crashRecord) noteEvidence() {
	r.mu.Lock()
	r.plan.Own = true
	r.mu.Unlock()
	select {
	case r.news <- struct{}{}:
	default:
	}
}

// run reads the record and keeps it up to date until ctx ends.
func (r *crashRecord) run(ctx context.Context) {
	r.load(ctx)
	for ctx.Err() == nil {
		due, ok := r.due(time.Now())
		wait := time.Until(due)
		if ok && wait <= 0 {
			_ = r.save(ctx, crashRecordTimeout) // it is tried again
			continue
		}
		if !ok {
			wait = crashRecordPoll
		}
		timer := time.NewTimer(wait)
		select {
		case <-ctx.Done():
			timer.Stop()
			return
		case <-r.news:
		case <-timer.C:
		}
		timer.Stop()
	}
}

// load reads the record if this node is one of the first by rendezvous hashing. The others learn
// its content from these.
func (r *crashRecord) load(ctx context.Context) {
	defer r.known.Store(true)
	ctx, cancel := context.WithTimeout(ctx, crashRecordStart)
	defer cancel()
	for waited := time.Duration(0); len(r.node.entries()) < 2 && waited < crashViewWait && pause(ctx, crashViewPoll); {
		waited += crashViewPoll
	}
	if r.rank() >= crashguard.Recorders {
		return
	}
	row, err := r.node.deps.Platform.Get(ctx, crashRowKey)
	if err != nil {
		r.noteTried(err)
		r.mu.Lock()
		r.plan.Unread = true
		r.mu.Unlock()
		return
	}
	r.merge(row, true)
	s := r.node.crashes.summary()
	event.CrashRecordRead.Log(r.node.deps.Log, slog.Int("crashes", s.Crashes), slog.Int("keys", s.Keys), slog.Int("convicted", s.Convicted), slog.Int("suspects", len(r.written)))
}

// due returns when the record should be written; false if it need not be.
func (r *crashRecord) due(now time.Time) (time.Time, bool) {
	unrecorded := r.node.crashes.hasUnrecorded(now) || !sameSuspects(r.lastWritten(), r.suspects(now))
	r.mu.Lock()
	defer r.mu.Unlock()
	r.plan.NoteEvidence(unrecorded, now)
	r.plan.Rank = r.rank()
	return r.plan.Due()
}

func (r *crashRecord) lastWritten() []suspectRow {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.written
}

func (r *crashRecord) setWritten(all []suspectRow) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.written = all
}

// suspects returns the rows of the suspects that this node knows.
func (r *crashRecord) suspects(now time.Time) (rows []suspectRow) {
	for _, record := range r.node.suspects.records(maxRecordedSuspects, now) {
		rows = append(rows, newSuspectRow(&record, now))
	}
	return rows
}

// merge adds a row to what this node knows, and returns it decoded.
func (r *crashRecord) merge(row platform.Row, starts bool) crashRow {
	held, err := decodeCrashRow(row.Value)
	if err != nil {
		event.CrashRecordFailed.Log(r.node.deps.Log, slog.String("err", err.Error()))
	}
	now := time.Now()
	r.node.crashes.mergeRecord(held.Parts, starts, now)
	r.node.suspects.restore(held.Suspects, now)
	r.setWritten(held.Suspects)
	return held
}

// save adds what this node knows to the record, and takes over its suspects.
func (r *crashRecord) save(ctx context.Context, timeout time.Duration) (err error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	defer func() { r.noteTried(err) }()
	for range maxCrashRecordAttempts {
		row, err := r.node.deps.Platform.Get(ctx, crashRowKey)
		if err != nil {
			return err
		}
		held := r.merge(row, false)
		now := time.Now()
		draft, ok := r.node.crashes.draft(held.Parts, now)
		next := crashRow{Parts: held.Parts, Suspects: r.suspects(now)}
		if !ok && sameSuspects(held.Suspects, next.Suspects) {
			return nil
		}
		if ok {
			next.Parts = draft.Record
		}
		value, err := json.Marshal(&next)
		if err != nil {
			panic(err) // its types always encode
		}
		result, err := r.node.deps.Platform.Commit(ctx, platform.Txn{
			Conditions: []platform.Condition{{Key: crashRowKey, Version: row.Version}},
			Writes:     []platform.Write{{Key: crashRowKey, Value: value}},
		})
		if err != nil {
			return err
		}
		if result.Applied {
			if ok {
				r.node.crashes.noteRecorded(draft)
			}
			r.setWritten(next.Suspects)
			event.CrashRecordWritten.Log(r.node.deps.Log, slog.Int("keys", len(next.Parts.Keys)), slog.Int("suspects", len(next.Suspects)), slog.Int("bytes", len(value)))
			return nil
		}
	}
	return errCrashRecordContended
}

func (r *crashRecord) noteTried(err error) {
	r.mu.Lock()
	failures := r.plan.NoteTry(time.Now(), err != nil && !errors.Is(err, errCrashRecordContended))
	r.mu.Unlock()
	if err != nil {
		event.CrashRecordFailed.Log(r.node.deps.Log, slog.Int("failures", failures), slog.String("err", err.Error()))
	}
}

// rank returns this node's place among those that write: all by rendezvous hashing.
func (r *crashRecord) rank() (rank int) {
	hash := func(id string) uint64 { return xxhash.Sum64String(id + " records crashes") }
	own := hash(r.node.settings.ID)
	for _, m := range r.node.entries() {
		if m.ID != r.node.settings.ID && hash(m.ID) < own {
			rank++
		}
	}
	return rank
}
