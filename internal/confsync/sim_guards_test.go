package confsync

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

const guardSeeds = 4000

// guard is a safety rule of the protocol and a function that disables it.
type guard struct {
	name   string
	remove func(*rules)
}

var guards = []guard{
	{name: "count-from-call", remove: func(r *rules) {
		r.proofAt = func(_, received, age time.Duration) time.Duration { return received - age }
	}},
	{name: "only-upwards", remove: func(r *rules) {
		r.mayReplace = func(applied, offered uint64) bool { return offered != applied }
	}},
	{name: "outage-majority", remove: func(r *rules) {
		r.outageQuorum = func(int) int { return 1 }
	}},
	{name: "more-than-half", remove: func(r *rules) {
		r.outageQuorum = func(n int) int { return max(1, n/2) }
	}},
	{name: "vote-after-proof", remove: func(r *rules) {
		r.mayVote = func(bool) bool { return true }
	}},
	{name: "proof-since-start", remove: func(r *rules) {
		r.sinceStart = func(time.Duration, time.Duration) bool { return true }
	}},
	{name: "list-after-waking", remove: func(r *rules) {
		r.stalledLong = func(time.Duration) bool { return false }
	}},
	{name: "vote-binds", remove: func(r *rules) {
		r.voteTerm = func(time.Duration) time.Duration { return 0 }
	}},
	{name: "report-after-bound", remove: func(r *rules) {
		r.settleTime = func(time.Duration) time.Duration { return 0 }
	}},
	{name: "report-majority", remove: func(r *rules) {
		r.confirmQuorum = func(int, int) int { return 1 }
	}},
}

// coveredGuards are safety rules whose absence another rule compensates in the randomised run;
// scripts disable both.
var coveredGuards = []guard{
	{name: "try-first", remove: func(r *rules) {
		r.isOutage = func(bool) bool { return true }
	}},
}

// Each safety rule prevents a failure that a user would observe. With the rule disabled, the
// randomised run must find that failure; otherwise the run does not prove the rule.
func TestRandomFaultsNeedEachGuard(t *testing.T) {
	for _, g := range guards {
		t.Run(g.name, func(t *testing.T) {
			is := is.New(t)
			r := defaultRules()
			g.remove(&r)
			w, seed := firstFailure(1, guardSeeds, r)
			is.True(w != nil) // the run finds the failure
			t.Logf("seed %d: %s", seed, w.failure)
		})
	}
}
