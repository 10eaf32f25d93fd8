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

// Acceptance is the answer to an accepted change.
type Acceptance struct {
	// Change is the change's id, with which its state can be queried.
	Change   string `json:"change"`
	Revision uint64 `json:"revision"`
	// Replayed reports that the change had been accepted before.
	Replayed bool `json:"replayed,omitempty"`
	// InForce is absent if the other nodes' confirmations could not be read in time.
	InForce     *Confirmation       `json:"in_force,omitempty"`
	Warnings    []config.Fault      `json:"warnings,omitempty"`
	Differences []config.Difference `json:"differences,omitempty"`
}

// DryRunResult is the answer to a change with dry_run, which is checked but not made.
type DryRunResult struct {
	DryRun      bool                `json:"dry_run"`
	Base        uint64              `json:"base"`
	Warnings    []config.Fault      `json:"warnings,omitempty"`
	Differences []config.Difference `json:"differences,omitempty"`
}

type edit func(doc *config.Document) (*config.Document, error)

// change applies an edit to the revision in If-Match. With dry_run it only checks the change.
func (s *Server) change(in *request, body []byte, replaces bool, e edit) (any, *Failure) {
	base, failure := baseRevision(in.r)
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
	ctx, cancel := withRequestTimeout(in)
	defer cancel()
	if in.r.URL.Query().Get("dry_run") == "true" {
		return s.dryRun(ctx, in, c)
	}
	result, err := s.deps.Store.Apply(ctx, c)
	if err != nil {
		return nil, storeFailure(err, id)
	}
	return s.respond(ctx, in, c, result)
}

// digest returns a hash of the method, path and body. Two requests with one change id are the same
// change only if their digests are equal.
func digest(r *http.Request, body []byte) string {
	h := sha256.New()
	h.Write([]byte(r.Method + " " + r.URL.Path + "\n"))
	h.Write(body)
	return hex.EncodeToString(h.Sum(nil))
}

func (s *Server) respond(ctx context.Context, in *request, c Change, r Result) (any, *Failure) {
	switch r.Verdict {
	case Conflicted:
		return nil, conflict(c.Base, r.Head.Revision)
	case Reused:
		return nil, changeIDReused(c.ID)
	}
	if r.Verdict == Accepted {
		s.reportAccepted(r.Record)
	}
	setETag(in.w, r.Record.Revision)
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

func (s *Server) reportAccepted(r Record) {
	event.ConfigurationAccepted.Log(s.deps.Log,
		slog.Uint64("revision", r.Revision), slog.String("change", r.Change),
		slog.String("operator", r.Operator), slog.String("preset", r.Preset))
	if s.deps.OnAccepted != nil {
		s.deps.OnAccepted(r.Revision)
	}
}

// confirm returns how many nodes have the revision in force, or nil if that is not known in time.
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

func (s *Server) dryRun(ctx context.Context, in *request, c Change) (any, *Failure) {
	head, _, err := s.deps.Store.Head(ctx)
	if err != nil {
		return nil, storeFailure(err, "")
	}
	if head.Revision != c.Base {
		return nil, conflict(c.Base, head.Revision)
	}
	before, after, err := s.deps.Store.editedDocuments(ctx, c)
	if err != nil {
		return nil, storeFailure(err, "")
	}
	setETag(in.w, c.Base)
	return DryRunResult{DryRun: true, Base: c.Base, Warnings: after.Warnings(), Differences: config.Diff(before, after)}, nil
}

// ChangeState is the state of a change as far as the store determines it.
type ChangeState string

// The states of a change.
const (
	// ChangeApplied means that the change is in the log.
	ChangeApplied ChangeState = "applied"
	// ChangeNotApplied means that the change has not been applied and never will be.
	ChangeNotApplied ChangeState = "not_applied"
	// ChangeUndecided means that the change has not been applied yet. It still may be as long as
	// the head is at its base.
	ChangeUndecided ChangeState = "undecided"
)

// ChangeStatus is the answer to a query for one change. Record is set if the change was applied.
type ChangeStatus struct {
	Change string      `json:"change"`
	State  ChangeState `json:"state"`
	// Present is the current revision.
	Present uint64  `json:"present"`
	Record  *Record `json:"record,omitempty"`
}

// getChange returns the state of a change. It reads the head before the change's row, for the
// reason given at [Store.applyOnce].
func (s *Server) getChange(in *request) (any, *Failure) {
	id := in.params.ByName("id")
	if !validChangeID(id) {
		return nil, badRequest("%q is no change id", id)
	}
	base, failure := uintQuery(in.r, "base")
	if failure != nil {
		return nil, failure
	}
	ctx, cancel := withRequestTimeout(in)
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

// ChangeList holds the latest records of the log, newest first.
type ChangeList struct {
	Changes []Record `json:"changes"`
}

// defaultChanges is how many changes are listed if the request gives no limit.
const defaultChanges = 20

func (s *Server) getChanges(in *request) (any, *Failure) {
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
	ctx, cancel := withRequestTimeout(in)
	defer cancel()
	records, err := s.deps.Store.Recent(ctx, int(limit))
	if err != nil {
		return nil, storeFailure(err, "")
	}
	return ChangeList{Changes: records}, nil
}
