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

// getStatus returns how many nodes have a revision in force. The default is the current revision.
func (s *Server) getStatus(in *request) (any, *Failure) {
	revision, failure := uintQuery(in.r, "revision")
	if failure != nil {
		return nil, failure
	}
	if s.deps.Confirmer == nil {
		return nil, notOffered("confirmations")
	}
	ctx, cancel := withRequestTimeout(in)
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
	setETag(in.w, revision)
	return c, nil
}

func notOffered(resource string) *Failure {
	return newFailure(http.StatusNotImplemented, CodeNotOffered, "%s: this node does not offer them", resource)
}

// readFailure returns the answer to a failed read of a resource.
func readFailure(resource string, err error) *Failure {
	f := newFailure(http.StatusServiceUnavailable, CodeStoreUnavailable, "%s: %v", resource, err)
	f.RetryAfter = storeRetryAfter
	return f
}

// NodeList is the answer with the entry nodes.
type NodeList struct {
	Nodes []Node `json:"nodes"`
}

func (s *Server) getNodes(in *request) (any, *Failure) {
	if s.deps.Nodes == nil {
		return nil, notOffered("nodes")
	}
	list, failure := readList(in, "nodes", s.deps.Nodes.Nodes)
	return NodeList{Nodes: list}, failure
}

// UpstreamList is the answer with the upstreams that the node has discovered.
type UpstreamList struct {
	Upstreams []Upstream `json:"upstreams"`
}

func (s *Server) getUpstreams(in *request) (any, *Failure) {
	if s.deps.Upstreams == nil {
		return nil, notOffered("upstreams")
	}
	list, failure := readList(in, "upstreams", s.deps.Upstreams.Upstreams)
	return UpstreamList{Upstreams: list}, failure
}

// RolloutList is the answer with the rollouts.
type RolloutList struct {
	Rollouts []Rollout `json:"rollouts"`
}

func (s *Server) getRollouts(in *request) (any, *Failure) {
	if s.deps.Rollouts == nil {
		return nil, notOffered("roll-outs")
	}
	list, failure := readList(in, "roll-outs", s.deps.Rollouts.Rollouts)
	return RolloutList{Rollouts: list}, failure
}

// HoldList is the answer with the holds of versions.
type HoldList struct {
	Holds []Hold `json:"holds"`
}

func (s *Server) getHolds(in *request) (any, *Failure) {
	if s.deps.Holds == nil {
		return nil, notOffered("holds")
	}
	list, failure := readList(in, "holds", s.deps.Holds.Holds)
	return HoldList{Holds: list}, failure
}

// readList calls a reader of a list. The list that it returns is never nil, so that JSON has [].
func readList[T any](in *request, resource string, reader func(context.Context) ([]T, error)) ([]T, *Failure) {
	ctx, cancel := withRequestTimeout(in)
	defer cancel()
	list, err := reader(ctx)
	if err != nil {
		return nil, readFailure(resource, err)
	}
	if list == nil {
		list = []T{}
	}
	return list, nil
}

// HoldTerm names the term of a hold to lift. A later hold, which the operator has not seen, stays.
type HoldTerm struct {
	Term int64 `json:"term"`
}

func (s *Server) liftHold(in *request) (any, *Failure) {
	if s.deps.Holds == nil {
		return nil, notOffered("holds")
	}
	term, _, failure := decodeBody[HoldTerm](in)
	if failure != nil {
		return nil, failure
	}
	version := in.params.ByName("version")
	ctx, cancel := withRequestTimeout(in)
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
