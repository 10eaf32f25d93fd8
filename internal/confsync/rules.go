package confsync

import "time"

// rules are the safety rules of the protocol. Each is a pure function, so that a test can
// disable one and verify that the simulation detects the violation.
type rules struct {
	// proofAt returns the instant of a proof reported by a peer.
	proofAt func(sent, received, age time.Duration) time.Duration
	// mayReplace reports whether an offered revision may replace the applied one.
	mayReplace func(applied, offered uint64) bool
	// outageQuorum returns how many of the electors must vote for an outage.
	outageQuorum func(electors int) int
	// listSettled reports whether lists have been known for long enough to know all
	// electors.
	listSettled func(span time.Duration) bool
	// stalledLong reports whether a gap between two steps makes the list of the fleet
	// outdated.
	stalledLong func(gap time.Duration) bool
	// isOutage reports whether an old proof means an outage, given whether an attempt to
	// get a more recent one failed.
	isOutage func(attemptFailed bool) bool
	// mayVote reports whether this node may vote.
	mayVote func(provedSinceStart bool) bool
	// sinceStart reports whether a proof is more recent than the start of this process.
	sinceStart func(at, started time.Duration) bool
	// voteTerm returns how long a vote binds its voter.
	voteTerm func(bound time.Duration) time.Duration
	// settleTime returns the time after learning of a revision by which nodes that have
	// not confirmed it can no longer admit work under an older one.
	settleTime func(bound time.Duration) time.Duration
	// confirmQuorum returns how many of the electors must confirm, if the smallest recent
	// number of electors is fewest.
	confirmQuorum func(electors, fewest int) int
}

// listSettleTime is five reads of the list at the default interval.
const listSettleTime = 5 * DefaultListInterval

// driftDivisor extends waits that must outlast a peer's wait by 1/20. The clock rates of two
// machines differ by far less.
const driftDivisor = 20

func withDrift(d time.Duration) time.Duration { return d + d/driftDivisor }

func defaultRules() rules {
	return rules{
		// A reply may have been buffered while this process was paused, or delayed by the
		// network. Its age is subtracted from the time of the call, which is earlier than
		// anything the peer did to answer it.
		proofAt: func(sent, _, age time.Duration) time.Duration { return sent - age },
		// A delayed read or an outdated parent may offer an older revision.
		mayReplace: func(applied, offered uint64) bool { return offered > applied },
		// A majority shares a node with each majority that confirmed a revision. The
		// highest revision among the voters is therefore not older than any that was
		// reported in force.
		outageQuorum: majority,
		// The platform's list lags. Within this time it shows each node that started
		// before this process got its first list.
		listSettled: func(span time.Duration) bool { return span >= listSettleTime },
		// Nodes may join while a process is paused. Its list shows the earlier fleet, so
		// that it could count itself and the few nodes it knows as the majority, and serve
		// callers under a configuration that the others have replaced. After a long pause
		// the lists must settle again as after a start.
		stalledLong: func(gap time.Duration) bool { return gap > longStallThreshold },
		// A process that was paused has an old proof although the table is available.
		// Without an attempt to read the table it would vote for an outage, and a single
		// node would continue under a replaced configuration.
		isOutage: func(triedInVain bool) bool { return triedInVain },
		// A restarted process does not know what it confirmed before. Once it has a proof
		// of the table that is more recent than its start, its revision is at least as new
		// as the confirmed one.
		mayVote: func(provedSinceStart bool) bool { return provedSinceStart },
		// A peer that is cut off may send a proof from before the start of this process,
		// which may be older than the revision that the previous process confirmed.
		sinceStart: func(at, started time.Duration) bool { return at >= started },
		// While others may rely on the vote, this node confirms nothing newer.
		voteTerm: withDrift,
		// Until then a node that was cut off may hold a proof of the previous revision.
		settleTime: withDrift,
		// A node that was cut off does not know nodes that joined since. Its majority is
		// one of the smaller fleet, and the quorum must intersect it.
		confirmQuorum: func(electors, fewest int) int {
			return max(majority(electors), electors-fewest/2)
		},
	}
}

func majority(n int) int { return n/2 + 1 }
