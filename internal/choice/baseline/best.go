package baseline

import (
	"github.com/hickorybank/hickorybank/internal/choice"
	"github.com/hickorybank/hickorybank/internal/config"
)

// Best always runs the serving version that the operators believe the best.
type Best struct{}

// Choose implements [choice.Policy].
func (Best) Choose(req choice.Request) choice.Plan {
	return run(pick(req, func(a, b *config.Version) bool { return a.PriorQuality > b.PriorQuality }))
}

func run(v *config.Version) choice.Plan {
	if v == nil {
		return choice.Plan{Refusal: choice.RefuseNoVersion}
	}
	return choice.Plan{First: v.Name}
}

// pick returns the first serving version that is preferred to all others.
func pick(req choice.Request, preferred func(a, b *config.Version) bool) *config.Version {
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
