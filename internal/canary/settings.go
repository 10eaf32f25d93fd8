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
}

const (
	// canaryPart is the part of the bound that the canary share uses: hashed
	// sessions differ in size, so the share of requests strays from the share
	// of sessions.
	canaryPart = 0.5
	// capPart is the part of the bound at which a node stops sending to the
	// new version while it is in doubt.
	capPart = 0.8
	// watchPart is the part of the time limit in which the share stays as it
	// is: sessions do not change their version then.
	watchPart = 0.5
	// settle is added to that part, for nodes that learned of the order late.
	settle = 500 * time.Millisecond
	// pinHold is how long nobody goes to the new version after the order: all
	// nodes learn of the order and of the sessions under way meanwhile.
	pinHold = 2500 * time.Millisecond
	// step is the time between two growths of the share; a bad version shows
	// well within it at the rate of a growing share.
	step = 900 * time.Millisecond
	// latePart is the part of the time limit after which the roll-out is
	// completed although old work is still under way.
	latePart = 0.85
	// leastAnswers is how many answers of the new version must be in before
	// its share grows.
	leastAnswers = 15
	// convictAt is the log likelihood ratio at which a version counts as bad:
	// one good version in a thousand is turned away by chance.
	convictAt = 6.9
	// excess is the share of bad answers, above the old version's, that the
	// test looks for.
	excess = 0.2
	// leastBase is the least share of bad answers that is taken for usual.
	leastBase = 0.03
	// baseHalfLife is how fast the old version's share of bad answers is
	// forgotten: trouble that hits both versions must not convict the new one.
	baseHalfLife = 3 * time.Second
	// slowTimes is how many times the usual pace an answer may take.
	slowTimes = 3.0
	// slowLeast is the least delay that counts as slow at all.
	slowLeast = 60 * time.Millisecond
	// doneAfter is how long after its limit an ended roll-out is told of.
	doneAfter = 30 * time.Second
	// shareScale is the resolution of hashed shares.
	shareScale = 10000
)

// growth are the shares after the watch, a step apart.
var growth = []float64{0.25, 0.6, 1}
