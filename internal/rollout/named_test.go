package rollout

import (
	"testing"

	"github.com/matryer/is"
)

// Regression: faults that these seeds found.
func TestRegressionSeeds(t *testing.T) {
	for name, seed := range map[string]uint64{
		// A driver is paused for half a minute. Some of its states are then too old to
		// count and some are not. Versions seem to be missing, and engines are ordered to
		// load what others have.
		"states aged unevenly in a pause": 37,
		// A load fails and is sent again. Its order times out before the engine's state
		// is read: the load is given up and another one begins, one too many for the
		// weight store.
		"order sent again a moment ago": 298,
		// An unload of a withdrawn version is pending in the row of a paused driver. An
		// engine with the successor crashes, and the next driver sends the unload.
		"inherited unload after a crash": 7404,
	} {
		t.Run(name, func(t *testing.T) {
			is.New(t).Equal(runSeed(seed, disabledRules{}).violation, "")
		})
	}
}

// Fails if orders count as done when they are acknowledged. The next step would then
// begin too early. The test counts the violations with and without the check of the
// engine's state.
func TestOrderIsDoneOnlyWhenTheStateShowsIt(t *testing.T) {
	is := is.New(t)
	with, most := countViolations(disabledRules{})
	is.Equal(with, 0)
	without, worst := countViolations(disabledRules{doneOnAck: true})
	t.Logf("%d seeds: %d unsafe moves and at most %d loads at one time with the check, %d and %d without", guardSeeds, with, most, without, worst)
	is.True(worst > most)
}

// countViolations returns in how many seeds an invariant was violated (the bound on loads
// is not checked), and the most loads at one time.
func countViolations(g disabledRules) (broken, most int) {
	for seed := uint64(1); seed <= guardSeeds; seed++ {
		w := drawWorld(seed, g)
		w.loadsUnchecked = true
		if w.finish().violation != "" {
			broken++
		}
		most = max(most, w.maxLoadsSeen)
	}
	return broken, most
}
