package confsync

import "time"

// rules are the guards of the protocol, each a pure function, so that tests
// can take one away and see that the checker notices.
type rules struct {
	// proofAt gives the instant of a proof that a peer reported.
	proofAt func(sent, received, age time.Duration) time.Duration
	// upward says whether an offered revision may replace the applied one.
	upward func(applied, offered uint64) bool
	// outageQuorum is how many of the electors must vote for an outage.
	outageQuorum func(electors int) int
	// listSettled says whether lists were known for long enough that the
	// electors are known too.
	listSettled func(span time.Duration) bool
	// woke says whether a gap between two steps makes what is known of the
	// fleet old.
	woke func(gap time.Duration) bool
	// sawOutage says whether an old proof is an outage, by whether a try for a
	// younger one was in vain.
	sawOutage func(triedInVain bool) bool
	// mayVote says whether this node may vote.
	mayVote func(provedSinceStart bool) bool
	// sinceStart says whether a proof is younger than this process.
	sinceStart func(at, started time.Duration) bool
	// promise is how long a vote binds its voter.
	promise func(bound time.Duration) time.Duration
	// settle is how long after a revision was learned the nodes that did not
	// confirm it have surely stopped to admit work under an older one.
	settle func(bound time.Duration) time.Duration
	// confirmQuorum is how many of the electors must confirm, when there were
	// at least fewest electors of late.
	confirmQuorum func(electors, fewest int) int
}

// listSettle is five reads of the list at its usual gap.
const listSettle = 5 * DefaultListGap

// driftDivisor widens the waits that must outlast a peer's by 1/20: clocks of
// two machines run at rates that differ by far less.
const driftDivisor = 20

func withDrift(d time.Duration) time.Duration { return d + d/driftDivisor }

func defaultRules() rules {
	return rules{
		// A reply may have lain in a buffer while this process was paused, or
		// crossed the network slowly. It is counted from the instant of the
		// call, which is earlier than everything the peer did for it.
		proofAt: func(sent, _, age time.Duration) time.Duration { return sent - age },
		// A stale read or an old parent may offer an older revision.
		upward: func(applied, offered uint64) bool { return offered > applied },
		// A majority has a node in common with every majority that confirmed
		// a revision, so that the highest revision among the voters is not
		// older than any that was reported in force.
		outageQuorum: majority,
		// The platform's list lags; within this time it names every node that
		// started before the process had its first one.
		listSettled: func(span time.Duration) bool { return span >= listSettle },
		// While a process is paused others may join. Its list names the fleet
		// of before, and it would take itself and the few it knows for the
		// majority: callers would be served under a configuration that the
		// others replaced meanwhile. It counts its lists as after a start.
		woke: func(gap time.Duration) bool { return gap > wakeGap },
		// A process that was paused has an old proof although the table is
		// well. It would vote, and a lone one go on under a configuration that
		// was replaced, instead of reading the table first.
		sawOutage: func(triedInVain bool) bool { return triedInVain },
		// A process that started anew has forgotten what it confirmed. Once it
		// has a proof of the table that is younger than itself, its revision is
		// as new again.
		mayVote: func(provedSinceStart bool) bool { return provedSinceStart },
		// A peer that is cut off hands on a proof from before this process
		// started, which may be older than what the process before it confirmed.
		sinceStart: func(at, started time.Duration) bool { return at >= started },
		// While others may rely on the vote this node confirms nothing newer.
		promise: withDrift,
		// Until then a node that was cut off may hold a proof of the revision
		// before.
		settle: withDrift,
		// Nodes that joined lately are unknown to a node that was cut off
		// before: its majority is one of the fewer.
		confirmQuorum: func(electors, fewest int) int {
			return max(majority(electors), electors-fewest/2)
		},
	}
}

func majority(n int) int { return n/2 + 1 }
