package admin

import (
	"net/http"
	"slices"

	"github.com/hickorybank/hickorybank/internal/config"
)

// collection is a list of a document whose entries are served and edited one by one.
type collection[T any] struct {
	// noun is the word for an entry in messages.
	noun string
	list func(doc *config.Document) *[]T
	name func(entry *T) *string
}

var (
	presets = collection[config.Preset]{
		"preset",
		func(d *config.Document) *[]config.Preset { return &d.Presets },
		func(p *config.Preset) *string { return &p.Name },
	}
	classes = collection[config.Class]{
		"class",
		func(d *config.Document) *[]config.Class { return &d.Classes },
		func(c *config.Class) *string { return &c.Name },
	}
	models = collection[config.Model]{
		"model",
		func(d *config.Document) *[]config.Model { return &d.Models },
		func(m *config.Model) *string { return &m.Name },
	}
	services = collection[config.Service]{
		"service",
		func(d *config.Document) *[]config.Service { return &d.Services },
		func(s *config.Service) *string { return &s.Name },
	}
	organisations = collection[config.Organisation]{
		"organisation",
		func(d *config.Document) *[]config.Organisation { return &d.Organisations },
		func(o *config.Organisation) *string { return &o.Name },
	}
)

func (s *Server) entityRoutes() {
	serveCollection(s, "presets", presets)
	serveCollection(s, "classes", classes)
	serveCollection(s, "models", models)
	serveCollection(s, "services", services)
	serveCollection(s, "organisations", organisations)
	s.handle(http.MethodGet, "/admin/v1/preset", s.getPreset)
	s.handle(http.MethodPost, "/admin/v1/preset", s.postPreset)
}

func serveCollection[T any](s *Server, plural string, c collection[T]) {
	path := "/admin/v1/" + plural
	s.handle(http.MethodGet, path, func(in *request) (any, *Failure) { return c.getAll(s, in) })
	s.handle(http.MethodGet, path+"/:name", func(in *request) (any, *Failure) { return c.get(s, in) })
	s.handle(http.MethodPut, path+"/:name", func(in *request) (any, *Failure) { return c.put(s, in) })
	s.handle(http.MethodDelete, path+"/:name", func(in *request) (any, *Failure) { return c.remove(s, in) })
}

func (c collection[T]) index(doc *config.Document, name string) int {
	return slices.IndexFunc(*c.list(doc), func(entry T) bool { return *c.name(&entry) == name })
}

func (c collection[T]) getAll(s *Server, in *request) (any, *Failure) {
	ctx, cancel := withRequestTimeout(in)
	defer cancel()
	_, doc, failure := s.current(ctx, in)
	if failure != nil {
		return nil, failure
	}
	entries := *c.list(doc)
	if entries == nil {
		entries = []T{}
	}
	return entries, nil
}

func (c collection[T]) get(s *Server, in *request) (any, *Failure) {
	ctx, cancel := withRequestTimeout(in)
	defer cancel()
	_, doc, failure := s.current(ctx, in)
	if failure != nil {
		return nil, failure
	}
	i := c.index(doc, in.params.ByName("name"))
	if i < 0 {
		return nil, notFound("there is no %s %q", c.noun, in.params.ByName("name"))
	}
	return (*c.list(doc))[i], nil
}

// put creates or replaces an entry. The body may omit the name, which the path gives.
func (c collection[T]) put(s *Server, in *request) (any, *Failure) {
	entry, body, failure := decodeBody[T](in)
	if failure != nil {
		return nil, failure
	}
	name := in.params.ByName("name")
	if failure := checkName(c.name(entry), name); failure != nil {
		return nil, failure
	}
	return s.change(in, body, false, func(doc *config.Document) (*config.Document, error) {
		list := c.list(doc)
		if i := c.index(doc, name); i >= 0 {
			(*list)[i] = *entry
		} else {
			*list = append(*list, *entry)
		}
		return doc, nil
	})
}

func checkName(field *string, name string) *Failure {
	if *field == "" {
		*field = name
	}
	if *field != name {
		return invalid([]config.Fault{{Field: "name", Reason: "must be " + name + ", as in the path"}})
	}
	return nil
}

// remove deletes an entry. Validation rejects the change if other entries refer to it, with a fault
// for each reference.
func (c collection[T]) remove(s *Server, in *request) (any, *Failure) {
	name := in.params.ByName("name")
	return s.change(in, nil, false, func(doc *config.Document) (*config.Document, error) {
		i := c.index(doc, name)
		if i < 0 {
			return nil, missing(c.noun, name)
		}
		list := c.list(doc)
		*list = slices.Delete(*list, i, i+1)
		return doc, nil
	})
}

// changeEntry edits the entry that the path names.
func changeEntry[T any](s *Server, in *request, body []byte, c collection[T], e func(*T) *Failure) (any, *Failure) {
	name := in.params.ByName("name")
	return s.change(in, body, false, func(doc *config.Document) (*config.Document, error) {
		i := c.index(doc, name)
		if i < 0 {
			return nil, missing(c.noun, name)
		}
		if f := e(&(*c.list(doc))[i]); f != nil {
			return nil, f
		}
		return doc, nil
	})
}

func missing(noun, name string) *Failure {
	f := notFound("there is no %s %q", noun, name)
	f.Outcome = NotApplied
	return f
}
