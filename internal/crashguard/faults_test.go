package crashguard

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// Fails if a bad part is not refused in time, or a sound one stays refused, beside losses of
// engines, cuts between nodes and lost exchanges.
func TestConvictionUnderFaults(t *testing.T) {
	setUnlessGiven(t, "rapid.checks", defaultChecks)
	setUnlessGiven(t, "rapid.seed", "1") // the same cases in each run; others are drawn by hand
	rapid.Check(t, func(t *rapid.T) { checkFaults(t, drawFaults(t)) })
}

// setUnlessGiven sets a flag unless the command line has changed it.
func setUnlessGiven(t *testing.T, name, value string) {
	t.Helper()
	if f := flag.Lookup(name); f.Value.String() == f.DefValue {
		if err := f.Value.Set(value); err != nil {
			t.Fatal(err)
		}
	}
}

// faultCase is a spec, its bad parts, and its sound ones.
type faultCase struct {
	worldSpec
	badParts, soundParts []string
	// badFrom is when the bad parts begin to crash engines, mendedAt when they become sound;
	// never if 0.
	badFrom, mendedAt time.Duration
}

func drawFaults(t *rapid.T) *faultCase {
	c := &faultCase{}
	c.seed = rapid.Uint64().Draw(t, "seed")
	c.nodes = rapid.IntRange(2, 40).Draw(t, "nodes")
	c.engines = rapid.IntRange(18, 60).Draw(t, "engines")
	c.soundPerSecond = float64(rapid.IntRange(40, 300).Draw(t, "sound"))
	c.badPerSecond = float64(rapid.IntRange(0, 20).Draw(t, "bad"))
	c.lost = rapid.Float64Range(0, 0.2).Draw(t, "lost")
	siblings := rapid.IntRange(2, 300).Draw(t, "siblings")
	c.sound, c.soundParts = soundParts(siblings), allSoundParts(siblings)
	switch rapid.IntRange(0, 3).Draw(t, "shape") {
	case 0:
		c.badParts = []string{"bad"}
		c.bad = func(*rand.Rand) []string { return []string{"first", "bad"} }
	case 1:
		c.badParts = []string{"bad"}
		c.bad = func(r *rand.Rand) []string { return []string{"bad", fmt.Sprint("behind", r.IntN(siblings))} }
	case 2:
		c.badParts = []string{"bad"}
		c.bad = func(r *rand.Rand) []string { return append(soundParts(siblings)(r), "bad") }
	case 3:
		c.badParts = []string{"bad", "worse"}
		c.bad = func(r *rand.Rand) []string { return []string{"first", c.badParts[r.IntN(2)]} }
	}
	for range rapid.IntRange(0, 4).Draw(t, "losses") {
		c.losses = append(c.losses, time.Duration(rapid.IntRange(0, 12_000).Draw(t, "loss"))*time.Millisecond)
	}
	c.share = rapid.Float64Range(0.1, 1).Draw(t, "share")
	if rapid.Bool().Draw(t, "cut") {
		c.cutNodes = rapid.IntRange(0, c.nodes/2).Draw(t, "cut nodes")
		c.cutFrom = time.Duration(rapid.IntRange(0, 10_000).Draw(t, "cut from")) * time.Millisecond
		c.cutUntil = c.cutFrom + time.Duration(rapid.IntRange(0, 5_000).Draw(t, "cut for"))*time.Millisecond
	}
	if rapid.Bool().Draw(t, "sound at first") {
		c.badFrom = 2 * time.Second
	}
	if rapid.Bool().Draw(t, "mended") {
		c.mendedAt = 15 * time.Second
	}
	return c
}

func checkFaults(t *rapid.T, c *faultCase) {
	c.isBad = func(part string, at time.Duration) bool {
		if at < c.badFrom || c.mendedAt > 0 && at >= c.mendedAt {
			return false
		}
		for _, p := range c.badParts {
			if p == part {
				return true
			}
		}
		return false
	}
	w := newWorld(c.worldSpec)
	w.run(30 * time.Second)
	if c.cutNodes == 0 && c.mendedAt == 0 {
		for _, part := range c.badParts {
			if late := w.late(part, partCrashes, 3*time.Second); late > 3 {
				t.Fatalf("%d requests with the part %s reached engines late", late, part)
			}
		}
	}
	if wrong := w.convicted(c.soundParts); len(wrong) > 0 {
		t.Fatalf("sound parts are refused: %v", wrong)
	}
	if share := w.refusedIn(20*time.Second, 30*time.Second); share > 0.5 {
		t.Fatalf("%.3f of the sound requests are refused", share)
	}
}

// Fails if trials that begin while a loss has taken all engines are used up.
func TestLossOfAllDuringTrials(t *testing.T) {
	const siblings = 175
	bad := []string{"bad", "worse"}
	w := newWorld(worldSpec{
		nodes: 39, engines: 52, soundPerSecond: 231, badPerSecond: 2, share: 1, seed: 0x1685267d6, sound: soundParts(siblings),
		losses: []time.Duration{808 * time.Millisecond, 957 * time.Millisecond, 2338 * time.Millisecond, 5636 * time.Millisecond},
		bad:    func(r *rand.Rand) []string { return []string{"first", bad[r.IntN(2)]} },
		isBad:  func(part string, at time.Duration) bool { return at < 15*time.Second && slices.Contains(bad, part) },
	})
	w.run(30 * time.Second)
	if wrong := w.convicted(allSoundParts(siblings)); len(wrong) > 0 {
		t.Errorf("sound parts are refused: %v", wrong)
	}
}

// Fails if a trial that crashes an engine moves the conviction of a part to those behind it.
func TestTrialKeepsThePartConvicted(t *testing.T) {
	const siblings = 4
	w := newWorld(worldSpec{
		nodes: 5, engines: 59, soundPerSecond: 113, badPerSecond: 6, lost: 0.0020072948987213124, share: 0.5147705078125, seed: 0xe32,
		sound: soundParts(siblings), losses: []time.Duration{0, time.Millisecond, 3 * time.Millisecond},
		bad:   func(r *rand.Rand) []string { return []string{"bad", fmt.Sprint("behind", r.IntN(siblings))} },
		isBad: func(part string, at time.Duration) bool { return at >= 2*time.Second && part == "bad" },
	})
	w.run(30 * time.Second)
	if late := w.late("bad", partCrashes, 3*time.Second); late > 3 {
		t.Errorf("%d requests with the bad part reached engines late, 3 may", late)
	}
}

// Fails if many nodes make a trial at once when requests with a bad part come back after a pause.
func TestRequestsThatComeBackAfterAPause(t *testing.T) {
	for _, nodes := range []int{8, 40, 192} {
		t.Run(fmt.Sprint(nodes, " nodes"), func(t *testing.T) {
			t.Parallel()
			w := newWorld(worldSpec{
				nodes: nodes, engines: 60, soundPerSecond: 60, badPerSecond: 20, lost: 0.05, seed: 3, sound: soundParts(100),
				bad:   func(*rand.Rand) []string { return []string{"first", "bad"} },
				isBad: func(part string, _ time.Duration) bool { return part == "bad" },
			})
			for i, until := range []time.Duration{4, 40, 60, 120, 140} {
				w.badPerSecond = float64(20 * ((i + 1) % 2)) // a pause after each period
				w.run(until * time.Second)
			}
			late := w.late("bad", partCrashes, 3*time.Second)
			t.Logf("%d crashes, %d late", len(w.crashes["bad"]), late)
			if late > 3 {
				t.Errorf("%d requests with the bad part reached engines late, 3 may", late)
			}
		})
	}
}
