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

// rejectedLogInterval is the minimum interval between log records of documents that could not
// be applied: each is retried several times a second.
const rejectedLogInterval = 10 * time.Second

// job is a document to apply: read from the table, or received from a peer.
type job struct {
	token  Token
	update archive.Update
	// stored is the encoded document if it was read in full from the table.
	stored []byte
}

// applied is a configuration that is ready to replace the current one.
type applied struct {
	archive  *archive.Archive
	snapshot *config.Snapshot
}

// applyJobs decodes and checks documents, one at a time, in a goroutine of its own: a large
// document takes milliseconds, which would delay the core.
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
			s.fetchFull.Store(true)
			if time.Since(logged) > rejectedLogInterval {
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

// prepare decodes and checks a document. It returns nil for a document that is not newer than
// the current one: from an outdated peer, or received twice.
func prepare(current *archive.Archive, j job) (*applied, error) {
	if current != nil && j.update.To <= current.Tag() {
		return nil, nil
	}
	next, err := j.archive(current)
	if err != nil {
		return nil, err
	}
	if next.Tag() != j.update.To {
		return nil, eris.Errorf("update leads to revision %d instead of %d", next.Tag(), j.update.To)
	}
	// The writer decodes documents strictly. Nodes ignore unknown fields, so that a field
	// added by a newer release does not stop all nodes of the older one during a rolling
	// upgrade. Unknown values are still refused.
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

// archive returns the archive with the job's document as its newest state.
func (j job) archive(current *archive.Archive) (*archive.Archive, error) {
	if j.stored == nil {
		return current.Apply(j.update)
	}
	raw, err := archive.Compact(j.stored)
	if err != nil {
		return nil, err
	}
	return current.Replace(j.update.To, raw), nil
}
