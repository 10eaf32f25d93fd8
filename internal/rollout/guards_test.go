package rollout

import (
	"testing"

	"github.com/matryer/is"
)

// Fails if the simulations no longer detect a missing rule. Each rule prevents a failure
// that users would see, so some seeds must fail without it. docs/design/rollouts.md lists
// the figures.
func TestSeedsCatchDisabledRules(t *testing.T) {
	for name, g := range map[string]disabledRules{
		"done on acknowledgement":   {doneOnAck: true},
		"unload before it was seen": {countLoading: true},
		"no proof before an order":  {noOwnershipCheck: true},
		"no wait for in force":      {noInForceCheck: true},
		"decision before the sweep": {noSweep: true},
	} {
		t.Run(name, func(t *testing.T) {
			failed, first, violation := sweepSeeds(t, 1, guardSeeds, g)
			t.Logf("%d of %d seeds; seed %d: %s", failed, guardSeeds, first, violation)
			is.New(t).True(failed > 0)
		})
	}
}
