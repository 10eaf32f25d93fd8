package admin

import (
	"net/http"
	"slices"

	"github.com/hickorybank/hickorybank/internal/config"
)

// VersionEntry is a version with the model that it belongs to.
type VersionEntry struct {
	Model string `json:"model"`
	config.Version
}

// RolloutStep is how far a version is rolled out.
type RolloutStep struct {
	State config.VersionState `json:"state"`
	// Share and ExposureCap go with the state staged only.
	Share       float64 `json:"share"`
	ExposureCap int     `json:"exposure_cap"`
}

// QualityTarget is an organisation's target for a class.
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

func (s *Server) getVersions(in *incoming) (any, *Failure) {
	ctx, cancel := timeLimit(in)
	defer cancel()
	_, doc, failure := s.current(ctx, in)
	if failure != nil {
		return nil, failure
	}
	return versionsOf(doc), nil
}

func (s *Server) getVersion(in *incoming) (any, *Failure) {
	ctx, cancel := timeLimit(in)
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

// withdraw ends new work on a version everywhere.
func (s *Server) withdraw(in *incoming) (any, *Failure) {
	return s.rollOut(in, nil, RolloutStep{State: config.Withdrawn})
}

func (s *Server) putRollout(in *incoming) (any, *Failure) {
	step, body, failure := decodeBody[RolloutStep](in)
	if failure != nil {
		return nil, failure
	}
	return s.rollOut(in, body, *step)
}

func (s *Server) rollOut(in *incoming, body []byte, step RolloutStep) (any, *Failure) {
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
func (s *Server) putVersion(in *incoming) (any, *Failure) {
	version, body, failure := decodeBody[config.Version](in)
	if failure != nil {
		return nil, failure
	}
	name := in.params.ByName("version")
	if failure := sameName(&version.Name, name); failure != nil {
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

func (s *Server) deleteVersion(in *incoming) (any, *Failure) {
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

func (s *Server) changeModel(in *incoming, body []byte, e func(*config.Model) *Failure) (any, *Failure) {
	return changeEntry(s, in, body, models, e)
}
