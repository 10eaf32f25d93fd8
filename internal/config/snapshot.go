package config

import "strings"

// Snapshot is a valid document with indexes over it. It is immutable and safe for concurrent use.
type Snapshot struct {
	// Revision increases by one with each accepted change; a higher one is always newer.
	Revision uint64
	// Doc is the document; it must not be modified.
	Doc *Document

	preset   *Preset
	orgs     map[string]*Organisation // by key hash
	byName   map[string]*Organisation
	versions map[string]*Version
	models   map[string]*Model
	modelOf  map[string]*Model // by version name
	classes  map[string]*Class
	services map[string]*Service
}

// Compile validates the document and builds its snapshot. The error is a [Faults]. The snapshot
// keeps the document, which must not be modified afterwards.
func Compile(revision uint64, doc *Document) (*Snapshot, error) {
	if faults := doc.Validate(); len(faults) > 0 {
		return nil, faults
	}
	s := &Snapshot{
		Revision: revision,
		Doc:      doc,
		orgs:     map[string]*Organisation{},
		byName:   map[string]*Organisation{},
		versions: map[string]*Version{},
		models:   map[string]*Model{},
		modelOf:  map[string]*Model{},
		classes:  map[string]*Class{},
		services: map[string]*Service{},
	}
	s.index()
	return s, nil
}

func (s *Snapshot) index() {
	for i := range s.Doc.Presets {
		if s.Doc.Presets[i].Name == s.Doc.Preset {
			s.preset = &s.Doc.Presets[i]
		}
	}
	for i := range s.Doc.Classes {
		s.classes[s.Doc.Classes[i].Name] = &s.Doc.Classes[i]
	}
	for i := range s.Doc.Models {
		s.indexModel(&s.Doc.Models[i])
	}
	for i := range s.Doc.Services {
		s.services[s.Doc.Services[i].Name] = &s.Doc.Services[i]
	}
	for i := range s.Doc.Organisations {
		s.indexOrganisation(&s.Doc.Organisations[i])
	}
}

func (s *Snapshot) indexModel(m *Model) {
	s.models[m.Name] = m
	for i := range m.Versions {
		s.versions[m.Versions[i].Name] = &m.Versions[i]
		s.modelOf[m.Versions[i].Name] = m
	}
}

func (s *Snapshot) indexOrganisation(o *Organisation) {
	s.byName[o.Name] = o
	for _, hash := range o.KeyHashes {
		s.orgs[strings.ToLower(hash)] = o
	}
}

// Preset returns the preset in force.
func (s *Snapshot) Preset() *Preset { return s.preset }

// OrganisationByKey returns the organisation that a bearer key belongs to, or nil.
func (s *Snapshot) OrganisationByKey(key string) *Organisation { return s.orgs[HashKey(key)] }

// Organisation returns the organisation of that name, or nil.
func (s *Snapshot) Organisation(name string) *Organisation { return s.byName[name] }

// Version returns the version of that name, or nil.
func (s *Snapshot) Version(name string) *Version { return s.versions[name] }

// Model returns the model of that name, or nil.
func (s *Snapshot) Model(name string) *Model { return s.models[name] }

// ModelOf returns the model that a version belongs to, or nil.
func (s *Snapshot) ModelOf(version string) *Model { return s.modelOf[version] }

// Class returns the class of that name, or nil.
func (s *Snapshot) Class(name string) *Class { return s.classes[name] }

// Service returns the plain service of that name, or nil.
func (s *Snapshot) Service(name string) *Service { return s.services[name] }

// Allowed reports whether new requests of the organisation may run on the version: the organisation
// lists it and it is not withdrawn.
func (s *Snapshot) Allowed(o *Organisation, version string) bool {
	v := s.versions[version]
	if v == nil || v.State == Withdrawn {
		return false
	}
	for _, name := range o.Versions {
		if name == version {
			return true
		}
	}
	return false
}

// Target returns the organisation's quality target for a class, or 0 if it has none.
func (o *Organisation) Target(class string) float64 {
	for _, t := range o.Targets {
		if t.Class == class {
			return t.Quality
		}
	}
	return 0
}

// Call returns the declared call that matches the method and has the longest matching path prefix,
// or nil.
func (s *Service) Call(method, path string) *Call {
	var best *Call
	for i := range s.Calls {
		c := &s.Calls[i]
		if c.Method != method || !strings.HasPrefix(path, c.Path) {
			continue
		}
		if best == nil || len(c.Path) > len(best.Path) {
			best = c
		}
	}
	return best
}
