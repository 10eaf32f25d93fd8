package admin

import (
	"context"
	"log/slog"
	"net/http"

	"github.com/hickorybank/hickorybank/internal/event"
)

func (s *Server) statusRoutes() {
	s.handle(http.MethodGet, "/admin/v1/bills", s.getBills)
	s.handle(http.MethodGet, "/admin/v1/nodes", s.getNodes)
	s.handle(http.MethodGet, "/admin/v1/upstreams", s.getUpstreams)
	s.handle(http.MethodGet, "/admin/v1/rollouts", s.getRollouts)
	s.handle(http.MethodGet, "/admin/v1/holds", s.getHolds)
	s.handle(http.MethodPost, "/admin/v1/holds/:version/lift", s.liftHold)
}

// getStatus tells how far a revision is in force; the present one if none is
// named.
func (s *Server) getStatus(in *incoming) (any, *Failure) {
	revision, failure := uintQuery(in.r, "revision")
	if failure != nil {
		return nil, failure
	}
	if s.deps.Confirmer == nil {
		return nil, notOffered("confirmations")
	}
	ctx, cancel := timeLimit(in)
	defer cancel()
	if revision == 0 {
		head, _, err := s.deps.Store.Head(ctx)
		if err != nil {
			return nil, storeFailure(err, "")
		}
		revision = head.Revision
	}
	c, err := s.deps.Confirmer.Confirmations(ctx, revision)
	if err != nil {
		return nil, readFailure("confirmations", err)
	}
	setRevision(in.w, revision)
	return c, nil
}

func notOffered(what string) *Failure {
	return fail(http.StatusNotImplemented, CodeNotOffered, "%s: this node does not offer them", what)
}

// readFailure is of a reader that gave no answer.
func readFailure(what string, err error) *Failure {
	f := fail(http.StatusServiceUnavailable, CodeStoreUnavailable, "%s: %v", what, err)
	f.RetryAfter = retrySoon
	return f
}

// NodeList is the entry nodes.
type NodeList struct {
	Nodes []Node `json:"nodes"`
}

func (s *Server) getNodes(in *incoming) (any, *Failure) {
	if s.deps.Nodes == nil {
		return nil, notOffered("nodes")
	}
	list, failure := read(in, "nodes", s.deps.Nodes.Nodes)
	return NodeList{Nodes: list}, failure
}

// UpstreamList is the upstreams that a node knows.
type UpstreamList struct {
	Upstreams []Upstream `json:"upstreams"`
}

func (s *Server) getUpstreams(in *incoming) (any, *Failure) {
	if s.deps.Upstreams == nil {
		return nil, notOffered("upstreams")
	}
	list, failure := read(in, "upstreams", s.deps.Upstreams.Upstreams)
	return UpstreamList{Upstreams: list}, failure
}

// RolloutList is the roll-outs.
type RolloutList struct {
	Rollouts []Rollout `json:"rollouts"`
}

func (s *Server) getRollouts(in *incoming) (any, *Failure) {
	if s.deps.Rollouts == nil {
		return nil, notOffered("roll-outs")
	}
	list, failure := read(in, "roll-outs", s.deps.Rollouts.Rollouts)
	return RolloutList{Rollouts: list}, failure
}

// HoldList is the holds.
type HoldList struct {
	Holds []Hold `json:"holds"`
}

func (s *Server) getHolds(in *incoming) (any, *Failure) {
	if s.deps.Holds == nil {
		return nil, notOffered("holds")
	}
	list, failure := read(in, "holds", s.deps.Holds.Holds)
	return HoldList{Holds: list}, failure
}

// read calls a reader of a list; the list is never nil.
func read[T any](in *incoming, what string, reader func(context.Context) ([]T, error)) ([]T, *Failure) {
	ctx, cancel := timeLimit(in)
	defer cancel()
	list, err := reader(ctx)
	if err != nil {
		return nil, readFailure(what, err)
	}
	if list == nil {
		list = []T{}
	}
	return list, nil
}

// HoldTerm names one term of a hold, so that lifting it says nothing of a
// later one that the operator has not seen.
type HoldTerm struct {
	Term int64 `json:"term"`
}

func (s *Server) liftHold(in *incoming) (any, *Failure) {
	if s.deps.Holds == nil {
		return nil, notOffered("holds")
	}
	term, _, failure := decodeBody[HoldTerm](in)
	if failure != nil {
		return nil, failure
	}
	version := in.params.ByName("version")
	ctx, cancel := timeLimit(in)
	defer cancel()
	lifted, err := s.deps.Holds.Lift(ctx, version, uint64(max(term.Term, 0)))
	if err != nil {
		return nil, storeFailure(err, "")
	}
	if !lifted {
		return nil, notFound("version %q has no hold of term %d", version, term.Term)
	}
	event.HoldLifted.Log(s.deps.Log, slog.String("operator", in.operator), slog.String("version", version), slog.Int64("term", term.Term))
	return term, nil
}
