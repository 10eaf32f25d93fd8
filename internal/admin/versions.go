package admin

import (
	"net/http"
	"slices"

	"github.com/hickorybank/hickorybank/internal/config"
)

// VersionEntry is a version with the name of its model.
type VersionEntry struct {
	Model string `json:"model"`
	config.Version
}

// RolloutStep sets the state, share and exposure cap of a version, as in [config.Version].
type RolloutStep struct {
	State config.VersionState `json:"state"`
	// Share and ExposureCap must be 0 unless the state is staged.
	Share       float64 `json:"share"`
	ExposureCap int     `json:"exposure_cap"`
}

// QualityTarget is an organisation's quality target for a class, in [0,1].
type QualityTarget struct {
	Quality float64 `json:"quality"`
}

func (s *Server) versionRoutes() {
	s.handle(http.MethodGet, "/admin/v1/versions", s.getVersions)
	s.handle(http.MethodGet, "/admin/v1/versions/:version", s.getVersion)
	s.handle(http.MethodPost, "/admin/v1/versions/:version/withdraw", s.withdraw)
	s.handle(http.MethodPut, "/admin/v1/versions/:version/rollout", s.putRollout)
	s.handle(http.MethodPut, "/admin/v1/models/:name/versions/:version", s.putVersion)
	s.handle(http.MethodDelete, "/admin/v1/models/:name/versions/:version", s.deleteVersion)
	s.handle(http.MethodPut, "/admin/v1/organisations/:name/targets/:class", s.putTarget)
	s.handle(http.MethodDelete, "/admin/v1/organisations/:name/targets/:class", s.deleteTarget)
}

func versionsOf(doc *config.Document) []VersionEntry {
	entries := []VersionEntry{}
	for _, m := range doc.Models {
		for _, v := range m.Versions {
			entries = append(entries, VersionEntry{Model: m.Name, Version: v})
		}
	}
	return entries
}

func (s *Server) getVersions(in *request) (any, *Failure) {
	ctx, cancel := withRequestTimeout(in)
	defer cancel()
	_, doc, failure := s.current(ctx, in)
	if failure != nil {
		return nil, failure
	}
	return versionsOf(doc), nil
}

func (s *Server) getVersion(in *request) (any, *Failure) {
	ctx, cancel := withRequestTimeout(in)
	defer cancel()
	_, doc, failure := s.current(ctx, in)
	if failure != nil {
		return nil, failure
	}
	name := in.params.ByName("version")
	for _, entry := range versionsOf(doc) {
		if entry.Name == name {
			return entry, nil
		}
	}
	return nil, notFound("there is no version %q", name)
}

// findVersion returns the version of that name within the document, or nil.
func findVersion(doc *config.Document, name string) *config.Version {
	for i := range doc.Models {
		for j := range doc.Models[i].Versions {
			if doc.Models[i].Versions[j].Name == name {
				return &doc.Models[i].Versions[j]
			}
		}
	}
	return nil
}

// withdraw stops new requests to a version on all nodes.
func (s *Server) withdraw(in *request) (any, *Failure) {
	return s.setRollout(in, nil, RolloutStep{State: config.Withdrawn})
}

func (s *Server) putRollout(in *request) (any, *Failure) {
	step, body, failure := decodeBody[RolloutStep](in)
	if failure != nil {
		return nil, failure
	}
	return s.setRollout(in, body, *step)
}

func (s *Server) setRollout(in *request, body []byte, step RolloutStep) (any, *Failure) {
	name := in.params.ByName("version")
	return s.change(in, body, false, func(doc *config.Document) (*config.Document, error) {
		v := findVersion(doc, name)
		if v == nil {
			return nil, missing("version", name)
		}
		v.State = step.State
		v.Share = step.Share
		v.ExposureCap = step.ExposureCap
		return doc, nil
	})
}

// putVersion creates or replaces a version of a model.
func (s *Server) putVersion(in *request) (any, *Failure) {
	version, body, failure := decodeBody[config.Version](in)
	if failure != nil {
		return nil, failure
	}
	name := in.params.ByName("version")
	if failure := checkName(&version.Name, name); failure != nil {
		return nil, failure
	}
	return s.changeModel(in, body, func(m *config.Model) *Failure {
		i := versionIndex(m, name)
		if i < 0 {
			m.Versions = append(m.Versions, *version)
			return nil
		}
		m.Versions[i] = *version
		return nil
	})
}

func (s *Server) deleteVersion(in *request) (any, *Failure) {
	name := in.params.ByName("version")
	return s.changeModel(in, nil, func(m *config.Model) *Failure {
		i := versionIndex(m, name)
		if i < 0 {
			return missing("version", name)
		}
		m.Versions = slices.Delete(m.Versions, i, i+1)
		return nil
	})
}

func versionIndex(m *config.Model, name string) int {
	return slices.IndexFunc(m.Versions, func(v config.Version) bool { return v.Name == name })
}

func (s *Server) changeModel(in *request, body []byte, e func(*config.Model) *Failure) (any, *Failure) {
	return changeEntry(s, in, body, models, e)
}
