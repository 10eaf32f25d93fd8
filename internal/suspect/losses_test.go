package suspect

import (
	"flag"
	"fmt"
	"strings"
	"testing"
	"time"
)

var seeds = flag.Int("seeds", defaultSeeds, "how many seeds TestAtMostTwoLosses runs")

// maxConviction is short, so that the tests see the end of a wrong conviction.
const maxConviction = 3 * time.Minute

// runSeed runs one seed and returns the first violation, or "".
func runSeed(seed uint64, nodes int, disabled rule, keepLog bool) (string, *world) {
	const faultsEnd, end = 25 * time.Second, maxConviction + 2*time.Minute
	w := newWorld(seed, nodes, disabled)
	w.keepLog = keepLog
	crasher := w.addCaller("crasher", true)
	var others []*caller
	for i := range 6 {
		others = append(others, w.addCaller(fmt.Sprintf("draft-%d", i), false))
	}
	w.scheduleFaults(faultsEnd)
	for w.now < end {
		w.runUntil(w.now + time.Second)
		if n := len(crasher.lost); n > convictionCrashes && crasher.lost[n-1] < crasher.lost[0]+maxConviction {
			return fmt.Sprintf("%d upstreams lost to one request", n), w
		}
		if w.now > faultsEnd && allDone(others) {
			return "", w
		}
	}
	for _, c := range others {
		if !c.done {
			return c.name + " never completed, though it crashes no upstream", w
		}
	}
	return "", w
}

func allDone(list []*caller) bool {
	for _, c := range list {
		if !c.done {
			return false
		}
	}
	return true
}

// One request that crashes each upstream that runs it costs at most two upstreams. Its
// caller sends it to any node, with a new key, as soon as it gets the failure or times
// out. Meanwhile messages are lost, delayed and repeated, nodes are paused, cut off and
// replaced, and upstreams crash for other reasons. The requests in flight beside it must
// complete.
func TestRequestCrashesAtMostTwoUpstreams(t *testing.T) {
	const lanes = 64
	for lane := range lanes {
		t.Run(fmt.Sprint(lane), func(t *testing.T) {
			t.Parallel()
			for seed := lane; seed < *seeds; seed += lanes {
				if violation, _ := runSeed(uint64(seed), 0, 0, false); violation != "" {
					t.Fatalf("seed %d: %s\n%s", seed, violation, replay(uint64(seed), 0))
				}
			}
		})
	}
}

// The same must hold with more nodes than exchange messages directly: records go by
// relays and five nodes vote. One silent node among them must still be detected.
func TestRequestCrashesAtMostTwoUpstreamsWithRelays(t *testing.T) {
	for seed := range uint64(*seeds / 100) {
		if wrong, _ := runSeed(seed, 24, 0, false); wrong != "" {
			t.Fatalf("seed %d: %s", seed, wrong)
		}
	}
}

// replay runs a seed again and returns its log.
func replay(seed uint64, disabled rule) string {
	_, w := runSeed(seed, 0, disabled, true)
	return strings.Join(w.log, "\n")
}

// Fails if the simulation no longer detects a missing rule: without any one of the rules
// some seed must lose a third upstream.
func TestSeedsCatchDisabledRules(t *testing.T) {
	for name, disabled := range map[string]rule{
		"alert":   ruleAlert,
		"release": ruleHoldFailures,
		"fresh":   ruleFreshness,
		"vote":    ruleVote,
		"doubt":   ruleDoubt,
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for seed := range uint64(4000) {
				if wrong, _ := runSeed(seed, 0, disabled, false); strings.Contains(wrong, "upstreams lost") {
					t.Logf("without %s: seed %d: %s", name, seed, wrong)
					return
				}
			}
			t.Errorf("no seed loses a third upstream without the rule")
		})
	}
}
