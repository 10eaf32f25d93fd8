package baseline

import (
	"github.com/hickorybank/hickorybank/internal/choice"
	"github.com/hickorybank/hickorybank/internal/config"
)

// Cheapest always runs the serving version with the lowest prices.
type Cheapest struct{}

// Choose implements [choice.Policy].
func (Cheapest) Choose(req choice.Request) choice.Plan {
	return run(pick(req, func(a, b *config.Version) bool {
		return a.InputCost+a.OutputCost < b.InputCost+b.OutputCost
	}))
}
