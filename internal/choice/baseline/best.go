package baseline

import (
	"github.com/hickorybank/hickorybank/internal/choice"
	"github.com/hickorybank/hickorybank/internal/config"
)

// Best always runs the serving version with the highest configured prior quality.
type Best struct{}

// Choose implements [choice.Policy].
func (Best) Choose(req choice.Request) choice.Plan {
	return planFor(pickServing(req, func(a, b *config.Version) bool { return a.PriorQuality > b.PriorQuality }))
}

func planFor(v *config.Version) choice.Plan {
	if v == nil {
		return choice.Plan{Refusal: choice.RefuseNoVersion}
	}
	return choice.Plan{First: v.Name}
}

// pickServing returns the first serving version that is preferred to all others, or nil
// if there is none. A pinned version need not be serving.
func pickServing(req choice.Request, preferred func(a, b *config.Version) bool) *config.Version {
	var chosen *config.Version
	for _, name := range req.Versions {
		v := req.Snapshot.Version(name)
		if v == nil || v.State != config.Serving && !req.Pinned {
			continue
		}
		if chosen == nil || preferred(v, chosen) {
			chosen = v
		}
	}
	return chosen
}
