package baseline

import (
	"github.com/hickorybank/hickorybank/internal/choice"
	"github.com/hickorybank/hickorybank/internal/config"
)

// Cheapest always runs the serving version with the lowest sum of input and output price.
type Cheapest struct{}

// Choose implements [choice.Policy].
func (Cheapest) Choose(req choice.Request) choice.Plan {
	return planFor(pickServing(req, func(a, b *config.Version) bool {
		return a.InputCost+a.OutputCost < b.InputCost+b.OutputCost
	}))
}
