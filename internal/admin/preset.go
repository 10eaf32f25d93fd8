package admin

import (
	"github.com/hickorybank/hickorybank/internal/config"
)

// PresetChoice names the preset in force.
type PresetChoice struct {
	Name string `json:"name"`
}

func (s *Server) getPreset(in *incoming) (any, *Failure) {
	ctx, cancel := timeLimit(in)
	defer cancel()
	_, doc, failure := s.current(ctx, in)
	if failure != nil {
		return nil, failure
	}
	return PresetChoice{Name: doc.Preset}, nil
}

// postPreset puts a preset in force in place of the one that is.
func (s *Server) postPreset(in *incoming) (any, *Failure) {
	choice, body, failure := decodeBody[PresetChoice](in)
	if failure != nil {
		return nil, failure
	}
	return s.change(in, body, false, func(doc *config.Document) (*config.Document, error) {
		doc.Preset = choice.Name
		return doc, nil
	})
}
