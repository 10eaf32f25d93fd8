package canary

import (
	"math"
	"time"
)

// Settings bound the requests that a version gets before it is known to be good.
type Settings struct {
	// ShareBound is the greatest part of a service's requests, in (0,1], that a bad
	// version may get.
	ShareBound float64
	// Slack is the number of requests that it may get beyond that part.
	Slack float64
	// Session is the longest pause between two requests of a session.
	Session time.Duration
	// Lag is the greatest delay with which a node learns of an order.
	Lag time.Duration
}

const (
	// canaryPart is the part of the bound that the first share of the sessions uses. The
	// rest is for the time between the shift of all sessions and the time limit: until
	// then every request counts against the bound, since the version may still turn out
	// bad.
	canaryPart = 0.3
	// widenedPart is the part of what is left of the bound that the trial uses after it was
	// widened.
	widenedPart = 0.7
	// capPart and slackPart are the parts of the bound's share and slack at which nodes
	// stop sending to the new version before the shift. Requests sent since the last
	// exchange of tallies come on top.
	capPart   = 0.6
	slackPart = 0.5
	// maxWidenedShare bounds the share of the sessions: where requests are few, the slack alone
	// would allow all.
	maxWidenedShare = 0.4
	// trialSpread is the ratio of a version's part of its upstreams to its share of the
	// sessions during the trial: seven of sixty upstreams in place of two, three of
	// eighteen in place of one.
	trialSpread = 4.0
	// shiftPart is the part of the bound that may be used at the time limit if all
	// sessions are shifted now.
	shiftPart = 0.93
	// fixedPart is the part of the time limit in which no session changes its version.
	fixedPart = 0.5
	// trialDelay is the time from the order to the start of the trial. Meanwhile all
	// nodes learn of the order and of the sessions under way.
	trialDelay = 2500 * time.Millisecond
	// pinSpread is the greatest delay with which a node learns that another one has
	// served a session: two rounds of messages, one of which may be lost.
	pinSpread = 2 * time.Second
	// minAnswers is how many answers of the new version are needed before all sessions go
	// to it. If it fails two in five, eighteen answers contain fewer than two failures
	// once in a thousand times.
	minAnswers = 18
	// widenPart is the part of the time limit after which the number of answers is
	// projected. It lies after fixedPart, because sessions that were under way take part
	// only from then on.
	widenPart = 0.55
	// recordMargin is the time reserved for writing the verdict before the time limit.
	recordMargin = 900 * time.Millisecond
	// shiftGrace is how much later than the deadline a version without doubt may still be
	// shifted: where the bound is tight its requests fit in only then.
	shiftGrace = 300 * time.Millisecond
	// soakGrace is how much longer than the deadline the soak may last. What is left is enough for
	// one write of the record: answers under load are worth more than a second try.
	soakGrace = 800 * time.Millisecond
	// halfTime is how long half of the sessions go to the new version before all do,
	// because its caches are cold.
	halfTime = 400 * time.Millisecond
	// doubtThreshold is the log likelihood ratio from which a version is not shifted; it
	// is rolled back at the deadline. A single bad answer adds at most 2.0 and stays
	// below it.
	doubtThreshold = 2.2
	// unclearThreshold is the log likelihood ratio of one route's delays from which more answers
	// are needed: "slower" is twice as likely as "as quick".
	unclearThreshold = math.Ln2
	// soakTime is how long all sessions go to a new version before it is completed, if
	// the time limit leaves as much: faults that show only under the whole load appear in
	// it.
	soakTime = 1500 * time.Millisecond
	// plainSoakTime is that time for a plain service, whose upstreams run above the coming load
	// meanwhile.
	plainSoakTime = 3 * time.Second
	// priorAnswers is the weight, in answers, of the long-run share of bad answers
	// against the recent ones.
	priorAnswers = 8
	// rollbackThreshold is the log likelihood ratio at which a version counts as bad: one
	// good version in a thousand is rolled back by chance.
	rollbackThreshold = 6.9
	// persistTime is how long the evidence must stand before it counts, unless most
	// answers are bad. It is about the time in which tallies of the old version's answers
	// of the same moment arrive.
	persistTime = time.Second
	// excess is the increase in the share of bad answers, over the old version's, that
	// the test looks for.
	excess = 0.2
	// minBaseBadShare is the least share of bad answers assumed for the old version.
	minBaseBadShare = 0.03
	// baseHalfLife is the half-life of the old version's counts: faults that hit both
	// versions must not count against the new one.
	baseHalfLife = 3 * time.Second
	// slowRollbackThreshold is the log likelihood ratio of all delays at which a version counts
	// as too slow: at most one good version in a thousand reaches it by a test.
	slowRollbackThreshold = 6.9
	// lateRollbackThreshold and lateDoubtThreshold are the bounds for the sequential test, which
	// tries each answer as the first slow one.
	lateRollbackThreshold = 10.0
	lateDoubtThreshold    = 6.0
	// quickThreshold is the log likelihood ratio of "as quick as the old version" that a version
	// needs: one in twenty that is slower has it.
	quickThreshold = 3.0
	// PaceEvents is the number of events from which a stream's pace is taken. At the end of
	// the stream, the pace of a slow version would be known only after all sessions had moved.
	PaceEvents = 6
	// reportTime is how long after its limit an ended rollout is still sent to peers.
	reportTime = 30 * time.Second
	// shareScale is the resolution of hashed shares.
	shareScale = 10000
)
