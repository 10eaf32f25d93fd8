package confsync

import (
	"encoding/json"
	"log/slog"
	"time"

	"github.com/rotisserie/eris"

	"github.com/hickorybank/hickorybank/internal/archive"
	"github.com/hickorybank/hickorybank/internal/config"
	"github.com/hickorybank/hickorybank/internal/event"
)

// rejectedGap is the time between two log records of documents that could not
// be applied: each is tried again several times a second.
const rejectedGap = 10 * time.Second

// job is a document to be applied: read from the table, or sent by a peer.
type job struct {
	token  Token
	update archive.Update
	// stored is set for one read whole from the table.
	stored []byte
}

// applied is a configuration ready to take the place of the one before.
type applied struct {
	archive  *archive.Archive
	snapshot *config.Snapshot
}

// applyJobs decodes and checks documents, one after the other, off the core's
// goroutine: a large one takes milliseconds.
func (s *Syncer) applyJobs() {
	var current *archive.Archive
	var logged time.Time
	for {
		var j job
		select {
		case <-s.ctx.Done():
			return
		case j = <-s.jobs:
		}
		result, err := prepare(current, j)
		if err != nil {
			s.whole.Store(true)
			if time.Since(logged) > rejectedGap {
				logged = time.Now()
				event.ConfigRejected.Log(s.deps.Log, slog.Uint64("revision", j.update.To), slog.Any("error", err))
			}
			s.post(input{event: ApplyFailed{Token: j.token}})
			continue
		}
		if result != nil {
			current = result.archive
		}
		s.post(input{event: Applied{Token: j.token, Revision: j.update.To}, applied: result})
	}
}

// prepare returns nil for a document that is not newer than the current one:
// an old peer's, or one that came twice.
func prepare(current *archive.Archive, j job) (*applied, error) {
	if current != nil && j.update.To <= current.Tag() {
		return nil, nil
	}
	next, err := j.archive(current)
	if err != nil {
		return nil, err
	}
	if next.Tag() != j.update.To {
		return nil, eris.Errorf("update leads to revision %d", next.Tag())
	}
	// The writer has read the document strictly. A reader is lenient: a field
	// that a newer release has added must not stop all nodes of an older one
	// in the middle of a rolling upgrade. Unknown values are still refused.
	doc := new(config.Document)
	if err := json.Unmarshal(next.Raw(), doc); err != nil {
		return nil, eris.Wrap(err, "decode document")
	}
	snapshot, err := config.Compile(next.Tag(), doc)
	if err != nil {
		return nil, err
	}
	return &applied{archive: next, snapshot: snapshot}, nil
}

func (j job) archive(current *archive.Archive) (*archive.Archive, error) {
	if j.stored == nil {
		return current.Take(j.update)
	}
	raw, err := archive.Compact(j.stored)
	if err != nil {
		return nil, err
	}
	return current.Replace(j.update.To, raw), nil
}
