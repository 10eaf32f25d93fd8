package crashguard

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// partCrashes is the number of crashes after which the bound for requests with a bad part begins.
const partCrashes = 5

// soundParts returns prompts with a common first part and one of count second parts.
func soundParts(count int) func(r *rand.Rand) []string {
	return func(r *rand.Rand) []string { return []string{"first", fmt.Sprint("second", r.IntN(count))} }
}

// allSoundParts returns the parts of soundParts.
func allSoundParts(count int) []string {
	names := []string{"first"}
	for i := range count {
		names = append(names, fmt.Sprint("second", i))
	}
	return names
}

// Fails if requests with a part that crashes engines reach engines late in fleets of any size, or
// sound requests are refused with them.
func TestConvictionSpreads(t *testing.T) {
	for _, c := range []struct {
		nodes, engines int
		bad            float64
	}{{8, 18, 10}, {40, 90, 10}, {60, 90, 20}, {192, 400, 20}, {192, 400, 2}} {
		t.Run(fmt.Sprintf("%d nodes, %v a second", c.nodes, c.bad), func(t *testing.T) {
			t.Parallel()
			playSpread(t, c.nodes, c.engines, c.bad, 7)
		})
	}
}

func playSpread(t *testing.T, nodes, engines int, bad float64, seed uint64) {
	const parts = 200
	w := newWorld(worldSpec{
		nodes: nodes, engines: engines, soundPerSecond: float64(5 * nodes), badPerSecond: bad, lost: 0.05, seed: seed,
		sound: soundParts(parts), bad: func(*rand.Rand) []string { return []string{"first", "bad"} },
		isBad: func(part string, _ time.Duration) bool { return part == "bad" },
	})
	w.run(20 * time.Second)
	crashes := w.crashes["bad"]
	wrong := w.convicted(allSoundParts(parts))
	t.Logf("%d crashes, fifth at %v, %d late; sound refused %.4f in all, %.4f from 7 s on; %d exchanges with %.1f keys; wrong %v",
		len(crashes), crashes[min(4, len(crashes)-1)], w.late("bad", partCrashes, 3*time.Second), w.refusedIn(0, 20*time.Second), w.refusedIn(7*time.Second, 20*time.Second),
		w.exchanges, float64(w.sentKeys)/float64(max(w.exchanges, 1)), wrong)
	if late := w.late("bad", partCrashes, 3*time.Second); late > 3 {
		t.Errorf("%d requests with the bad part reached engines late, 3 may", late)
	}
	if len(wrong) > 0 {
		t.Errorf("sound parts are refused: %v", wrong)
	}
	if share := w.refusedIn(7*time.Second, 20*time.Second); share > 0.5 {
		t.Errorf("%.3f of sound first tries are refused", share)
	}
}
