package admin

import (
	"github.com/hickorybank/hickorybank/internal/config"
)

// PresetChoice names the preset that is, or is to be, in force.
type PresetChoice struct {
	Name string `json:"name"`
}

func (s *Server) getPreset(in *request) (any, *Failure) {
	ctx, cancel := withRequestTimeout(in)
	defer cancel()
	_, doc, failure := s.current(ctx, in)
	if failure != nil {
		return nil, failure
	}
	return PresetChoice{Name: doc.Preset}, nil
}

// postPreset puts another preset in force.
func (s *Server) postPreset(in *request) (any, *Failure) {
	choice, body, failure := decodeBody[PresetChoice](in)
	if failure != nil {
		return nil, failure
	}
	return s.change(in, body, false, func(doc *config.Document) (*config.Document, error) {
		doc.Preset = choice.Name
		return doc, nil
	})
}
