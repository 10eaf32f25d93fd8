package admin

import (
	"slices"

	"github.com/hickorybank/hickorybank/internal/config"
)

// putTarget sets an organisation's quality target for a class.
func (s *Server) putTarget(in *request) (any, *Failure) {
	target, body, failure := decodeBody[QualityTarget](in)
	if failure != nil {
		return nil, failure
	}
	class := in.params.ByName("class")
	return changeEntry(s, in, body, organisations, func(o *config.Organisation) *Failure {
		i := targetIndex(o, class)
		if i < 0 {
			o.Targets = append(o.Targets, config.Target{Class: class})
			i = len(o.Targets) - 1
		}
		o.Targets[i].Quality = target.Quality
		return nil
	})
}

func (s *Server) deleteTarget(in *request) (any, *Failure) {
	class := in.params.ByName("class")
	return changeEntry(s, in, nil, organisations, func(o *config.Organisation) *Failure {
		i := targetIndex(o, class)
		if i < 0 {
			return missing("target for class", class)
		}
		o.Targets = slices.Delete(o.Targets, i, i+1)
		return nil
	})
}

func targetIndex(o *config.Organisation, class string) int {
	return slices.IndexFunc(o.Targets, func(t config.Target) bool { return t.Class == class })
}
