package rollout

import (
	"testing"

	"github.com/matryer/is"
)

// Seeds that once broke an invariant, each for a fault that is mended.
func TestNamedSeeds(t *testing.T) {
	for name, seed := range map[string]uint64{
		// A driver sleeps half a minute. When it wakes some of what it saw is too
		// old to count and some is not: versions look missing, and engines are
		// told to load what others have.
		"states aged unevenly in a pause": 37,
		// A load fails and is ordered again. Before the engine's state is read, the
		// patience with the order ends: it is taken for lost and another load
		// begins, one too many for the weight store.
		"order sent again a moment ago": 298,
		// An unload of a withdrawn version stands in the row of a paused driver;
		// an engine with the successor crashes; the next driver sends the unload.
		"inherited unload after a crash": 7404,
	} {
		t.Run(name, func(t *testing.T) {
			is.New(t).Equal(runSeed(seed, guards{}).broken, "")
		})
	}
}

// What the check of the new copy saves: an order is done when the engine's own
// state shows it. Without it the next move begins on an acknowledgement, and
// the test counts what goes wrong.
func TestNextMoveWaitsForTheState(t *testing.T) {
	is := is.New(t)
	with, most := unsafeMoves(guards{})
	is.Equal(with, 0)
	without, worst := unsafeMoves(guards{doneOnAck: true})
	t.Logf("%d seeds: %d unsafe moves and at most %d loads at one time with the check, %d and %d without", guardSeeds, with, most, without, worst)
	is.True(worst > most)
}

// unsafeMoves is in how many seeds an order took a version below its demand,
// loaded it in vain or left it unsettled, and the most loads at one time.
func unsafeMoves(g guards) (broken, most int) {
	for seed := uint64(1); seed <= guardSeeds; seed++ {
		w := drawWorld(seed, g)
		w.paceUnchecked = true
		if w.finish().broken != "" {
			broken++
		}
		most = max(most, w.mostLoads)
	}
	return broken, most
}
