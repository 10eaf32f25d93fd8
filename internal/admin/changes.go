package admin

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"log/slog"
	"net/http"
	"strconv"

	"github.com/hickorybank/hickorybank/internal/config"
	"github.com/hickorybank/hickorybank/internal/event"
)

// Acceptance is the answer to a change.
type Acceptance struct {
	// Change is the id under which the change can be asked for.
	Change   string `json:"change"`
	Revision uint64 `json:"revision"`
	// Replayed says that the change had been accepted before.
	Replayed bool `json:"replayed,omitempty"`
	// InForce is absent when other nodes could not be asked in time.
	InForce     *Confirmation       `json:"in_force,omitempty"`
	Warnings    []config.Fault      `json:"warnings,omitempty"`
	Differences []config.Difference `json:"differences,omitempty"`
}

// Trial is the answer to a change with dry_run: nothing was changed.
type Trial struct {
	DryRun      bool                `json:"dry_run"`
	Base        uint64              `json:"base"`
	Warnings    []config.Fault      `json:"warnings,omitempty"`
	Differences []config.Difference `json:"differences,omitempty"`
}

type edit func(doc *config.Document) (*config.Document, error)

// change applies an edit to the revision that If-Match names.
func (s *Server) change(in *incoming, body []byte, replaces bool, e edit) (any, *Failure) {
	base, failure := baseOf(in.r)
	if failure != nil {
		return nil, failure
	}
	id, failure := changeID(in.r)
	if failure != nil {
		return nil, failure
	}
	c := Change{
		ID: id, Base: base, Operator: in.operator, At: s.deps.Now().UTC(),
		Digest: digest(in.r, body), Edit: e, Replaces: replaces,
	}
	ctx, cancel := timeLimit(in)
	defer cancel()
	if in.r.URL.Query().Get("dry_run") == "true" {
		return s.tryOut(ctx, in, c)
	}
	result, err := s.deps.Store.Apply(ctx, c)
	if err != nil {
		return nil, storeFailure(err, id)
	}
	return s.judged(ctx, in, c, result)
}

// digest is of everything that makes one request another.
func digest(r *http.Request, body []byte) string {
	h := sha256.New()
	h.Write([]byte(r.Method + " " + r.URL.Path + "\n"))
	h.Write(body)
	return hex.EncodeToString(h.Sum(nil))
}

func (s *Server) judged(ctx context.Context, in *incoming, c Change, r Result) (any, *Failure) {
	switch r.Verdict {
	case Conflicted:
		return nil, conflict(c.Base, r.Head.Revision)
	case Reused:
		return nil, keyReused(c.ID)
	}
	if r.Verdict == Accepted {
		s.accepted(r.Record)
	}
	setRevision(in.w, r.Record.Revision)
	answer := Acceptance{Change: c.ID, Revision: r.Record.Revision, InForce: s.confirm(ctx, r.Record.Revision)}
	if r.Verdict == Replayed {
		in.w.Header().Set(HeaderReplayed, "true")
		answer.Replayed = true
	}
	if r.Doc != nil {
		answer.Warnings = r.Doc.Warnings()
		answer.Differences = config.Diff(r.Before, r.Doc)
	}
	return answer, nil
}

func (s *Server) accepted(r Record) {
	event.ConfigurationAccepted.Log(s.deps.Log,
		slog.Uint64("revision", r.Revision), slog.String("change", r.Change),
		slog.String("operator", r.Operator), slog.String("preset", r.Preset))
	if s.deps.Accepted != nil {
		s.deps.Accepted(r.Revision)
	}
}

// confirm asks how far the revision is in force; nil when that is not known.
func (s *Server) confirm(ctx context.Context, revision uint64) *Confirmation {
	if s.deps.Confirmer == nil {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, confirmTimeout)
	defer cancel()
	c, err := s.deps.Confirmer.Confirmations(ctx, revision)
	if err != nil {
		return nil
	}
	return &c
}

func (s *Server) tryOut(ctx context.Context, in *incoming, c Change) (any, *Failure) {
	head, _, err := s.deps.Store.Head(ctx)
	if err != nil {
		return nil, storeFailure(err, "")
	}
	if head.Revision != c.Base {
		return nil, conflict(c.Base, head.Revision)
	}
	before, after, err := s.deps.Store.edited(ctx, c)
	if err != nil {
		return nil, storeFailure(err, "")
	}
	setRevision(in.w, c.Base)
	return Trial{DryRun: true, Base: c.Base, Warnings: after.Warnings(), Differences: config.Diff(before, after)}, nil
}

// ChangeState is what became of a change, as far as the store can tell.
type ChangeState string

// The states of a change.
const (
	ChangeApplied ChangeState = "applied"
	// ChangeNotApplied: it was not and never will be.
	ChangeNotApplied ChangeState = "not_applied"
	// ChangeUndecided: it was not applied so far; as long as the head is at
	// its base it still may be.
	ChangeUndecided ChangeState = "undecided"
)

// ChangeStatus answers for one change.
type ChangeStatus struct {
	Change string      `json:"change"`
	State  ChangeState `json:"state"`
	// Present is the present revision.
	Present uint64  `json:"present"`
	Record  *Record `json:"record,omitempty"`
}

// getChange tells what became of a change. The head is read first: see Store.try.
func (s *Server) getChange(in *incoming) (any, *Failure) {
	id := in.params.ByName("id")
	if !plainID(id) {
		return nil, badRequest("%q is no change id", id)
	}
	base, failure := uintQuery(in.r, "base")
	if failure != nil {
		return nil, failure
	}
	ctx, cancel := timeLimit(in)
	defer cancel()
	head, _, err := s.deps.Store.Head(ctx)
	if err != nil {
		return nil, storeFailure(err, "")
	}
	record, found, err := s.deps.Store.Find(ctx, id)
	if err != nil {
		return nil, storeFailure(err, "")
	}
	status := ChangeStatus{Change: id, State: ChangeUndecided, Present: head.Revision}
	switch {
	case found:
		status.State = ChangeApplied
		status.Record = &record
	case in.r.URL.Query().Has("base") && head.Revision > base:
		status.State = ChangeNotApplied
	}
	return status, nil
}

// ChangeList is the end of the log, newest first.
type ChangeList struct {
	Changes []Record `json:"changes"`
}

const defaultChanges = 20

func (s *Server) getChanges(in *incoming) (any, *Failure) {
	limit, failure := uintQuery(in.r, "limit")
	if failure != nil {
		return nil, failure
	}
	if limit == 0 {
		limit = defaultChanges
	}
	if limit > maxRecords {
		return nil, badRequest("limit: %s is above %d", strconv.FormatUint(limit, 10), maxRecords)
	}
	ctx, cancel := timeLimit(in)
	defer cancel()
	records, err := s.deps.Store.Recent(ctx, int(limit))
	if err != nil {
		return nil, storeFailure(err, "")
	}
	return ChangeList{Changes: records}, nil
}
