package canary

import "time"

// Settings bound the exposure to a version that may be bad.
type Settings struct {
	// ShareBound is the greatest share of a service's requests that a bad
	// version may get.
	ShareBound float64
	// Slack is the number of requests that it may get beyond the share.
	Slack float64
	// Session is the longest pause between requests of a session.
	Session time.Duration
	// Lag is how late a node may learn of an order.
	Lag time.Duration
}

const (
	// canaryPart is the part of the bound that the canary share uses. The rest
	// is for the time between the shift of all sessions and the time limit: a
	// version may be bad in a way that no answer has shown yet, and counts
	// against the bound until then.
	canaryPart = 0.3
	// widePart is the part of the bound that the share uses then where answers are few: over
	// the whole trial it stays well within.
	widePart = 0.75
	// capPart and slackPart are the parts of the bound's share and slack at
	// which nodes stop sending to the new version while it is in doubt.
	// Requests that were sent since the last news come on top.
	capPart   = 0.6
	slackPart = 0.5
	// wideCapPart is the part of the share then where answers are few.
	wideCapPart = 0.7
	// trialSpread is how many times its share of the upstreams a version on
	// trial uses: seven of sixty in place of two, three of eighteen in place of
	// one.
	trialSpread = 4.0
	// shiftPart is the part of the bound that is used when all sessions have
	// been shifted by the time limit.
	shiftPart = 0.93
	// watchPart is the part of the time limit before which no session changes
	// its version.
	watchPart = 0.5
	// pinHold is how long nobody goes to the new version after the order: all
	// nodes learn of the order and of the sessions under way meanwhile.
	pinHold = 2500 * time.Millisecond
	// pinNews is how late a node may hear that another has served a session: two
	// rounds of news, one of which may be lost.
	pinNews = 2 * time.Second
	// leastAnswers is how many answers of the new version must be in before all
	// sessions go to it: of a version that fails two in five, eighteen answers
	// show fewer than two failures once in a thousand times.
	leastAnswers = 18
	// widenPart is the part of the time limit after which it shows whether a trial is
	// heading for enough answers: sessions that were under way take part from watchPart on.
	widenPart = 0.6
	// recordTime is kept for writing the verdict before the time limit.
	recordTime = 900 * time.Millisecond
	// shiftGrace is how much later than the record's time a version without doubt
	// may still be taken into use: where the bound is tight its requests fit in
	// only then, and half a second is left for the record.
	shiftGrace = 300 * time.Millisecond
	// halfFor is how long half of the sessions go to the new version before
	// all do: caches and connections are cold there.
	halfFor = 400 * time.Millisecond
	// doubtAt is the likelihood ratio from which a version is not taken into
	// use: should the time limit come, it is rolled back. A single bad answer
	// weighs at most 2.0, and is no reason.
	doubtAt = 2.2
	// proveFor is how long all sessions go to a new version before the old one
	// is given up, if the time limit leaves as much: what shows only under the
	// whole load shows by then.
	proveFor = 1500 * time.Millisecond
	// usualAnswers is how many answers the long-run share of bad ones weighs
	// against the recent ones.
	usualAnswers = 8
	// convictAt is the log likelihood ratio at which a version counts as bad:
	// one good version in a thousand is turned away by chance.
	convictAt = 6.9
	// persistFor is how long the evidence has to stand before it counts, where
	// not most answers are bad: about as long as news of the old version's
	// answers in the same moment may take.
	persistFor = time.Second
	// excess is the share of bad answers, above the old version's, that the
	// test looks for.
	excess = 0.2
	// leastBase is the least share of bad answers that is taken for usual.
	leastBase = 0.03
	// baseHalfLife is how fast the old version's share of bad answers is
	// forgotten: trouble that hits both versions must not convict the new one.
	baseHalfLife = 3 * time.Second
	// slowTimes is how many times the usual pace an answer may take.
	slowTimes = 4.0
	// slowLeast is the least delay that counts as slow at all.
	slowLeast = 60 * time.Millisecond
	// doneAfter is how long after its limit an ended roll-out is told of.
	doneAfter = 30 * time.Second
	// shareScale is the resolution of hashed shares.
	shareScale = 10000
)
