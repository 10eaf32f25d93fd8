package admin

import (
	"context"
	"net/http"
	"strconv"

	"github.com/hickorybank/hickorybank/internal/config"
)

func (s *Server) configurationRoutes() {
	s.handle(http.MethodGet, "/admin/v1/configuration", s.getConfiguration)
	s.handle(http.MethodPut, "/admin/v1/configuration", s.putConfiguration)
	s.handle(http.MethodGet, "/admin/v1/configuration/status", s.getStatus)
	s.handle(http.MethodGet, "/admin/v1/changes", s.getChanges)
	s.handle(http.MethodGet, "/admin/v1/changes/:id", s.getChange)
}

// getConfiguration returns the whole document: the current one, or that of the requested revision.
func (s *Server) getConfiguration(in *request) (any, *Failure) {
	revision, failure := uintQuery(in.r, "revision")
	if failure != nil {
		return nil, failure
	}
	ctx, cancel := withRequestTimeout(in)
	defer cancel()
	if revision != 0 {
		return s.configurationAt(ctx, in, revision)
	}
	_, doc, failure := s.current(ctx, in)
	return doc, failure
}

func (s *Server) configurationAt(ctx context.Context, in *request, revision uint64) (any, *Failure) {
	doc, err := s.deps.Store.Document(ctx, revision)
	if err != nil {
		return nil, storeFailure(err, "")
	}
	if doc == nil {
		return nil, notFound("revision %d is not, or no longer, stored", revision)
	}
	setETag(in.w, revision)
	return doc, nil
}

// current reads the head and its document and sets the ETag.
func (s *Server) current(ctx context.Context, in *request) (Head, *config.Document, *Failure) {
	head, doc, err := s.deps.Store.Current(ctx)
	if err != nil {
		return head, nil, storeFailure(err, "")
	}
	setETag(in.w, head.Revision)
	if doc == nil {
		f := notFound("no configuration is stored; the first one is made from revision 0")
		f.Revision = &head.Revision
		return head, nil, f
	}
	return head, doc, nil
}

func (s *Server) putConfiguration(in *request) (any, *Failure) {
	body, failure := readBody(in)
	if failure != nil {
		return nil, failure
	}
	doc, failure := decode[config.Document](body)
	if failure != nil {
		return nil, failure
	}
	return s.change(in, body, true, func(*config.Document) (*config.Document, error) { return doc, nil })
}

func uintQuery(r *http.Request, name string) (uint64, *Failure) {
	text := r.URL.Query().Get(name)
	if text == "" {
		return 0, nil
	}
	n, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		return 0, badRequest("%s: %q is not a whole number", name, text)
	}
	return n, nil
}

func withRequestTimeout(in *request) (context.Context, context.CancelFunc) {
	return context.WithTimeout(in.r.Context(), requestTimeout)
}
