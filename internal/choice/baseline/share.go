package baseline

import (
	"math"

	"github.com/hickorybank/hickorybank/internal/choice"
)

// FixedShare runs a fixed share of the requests on the best version and the others on the
// cheapest.
type FixedShare struct {
	// Best is the share of requests on the best version, in [0,1].
	Best float64
}

// Choose implements [choice.Policy].
func (f FixedShare) Choose(req choice.Request) choice.Plan {
	if float64(req.Random) < f.Best*math.MaxUint64 {
		return Best{}.Choose(req)
	}
	return Cheapest{}.Choose(req)
}
