package fleet

import "time"

// Settings are the figures that choices go by.
type Settings struct {
	// Domain is this node's failure domain.
	Domain string
	// Regions are the regions of all failure domains, by their names.
	Regions map[string]string
	// Origin names this run of the node among those of all nodes.
	Origin uint64
}

const (
	// ejectBase is how long an upstream that could not be reached is left
	// alone; it doubles with each further failure in a row.
	ejectBase = 400 * time.Millisecond
	// ejectMost bounds that time: a crashed upstream is usually back within a
	// few seconds under a new ID, which starts afresh.
	ejectMost = 4 * time.Second
	// errorHalfLife is how fast past failures are forgotten.
	errorHalfLife = 4 * time.Second
	// loadFresh is how long a word on load counts in full: engines report some
	// hundred milliseconds late, and half of their waiting requests have begun
	// by then. It halves after each loadHalfLife more.
	loadFresh    = 200 * time.Millisecond
	loadHalfLife = 400 * time.Millisecond
	// flightFresh is how long what other nodes have told of their work counts;
	// it comes several times in that time.
	flightFresh = 700 * time.Millisecond
	// sampleSize is how many upstreams are weighed for an attempt, beside the
	// holders of its prompt part.
	sampleSize = 5
	// affinityWidth is how many upstreams share one prompt part: a second one
	// takes over where the first is loaded.
	affinityWidth = 2
	// holderKeeps is the part of a prompt's shared tokens that the upstream to
	// which all nodes send the part is taken to have cached.
	holderKeeps = 0.8
	// fillWeight is what a full batch slows an attempt by, in mean attempts,
	// fullWeight what each further batch of waiting requests does.
	fillWeight = 1.0
	fullWeight = 20.0
	// rereadWeight is the work of a token of a shared part that is read again,
	// whatever the model, in tokens of the largest model.
	rereadWeight = 1.0
	// remotePenalty is the work, in mean attempts, that staying in the failure
	// domain outweighs.
	remotePenalty = 0.05
	// pacedPenalty is the work that a bound on an upstream's rate outweighs: what it has
	// room for is better kept for requests that find no room elsewhere.
	pacedPenalty = 1.0
	// errorPenalty is how much a share of failed attempts lengthens the wait.
	errorPenalty = 4.0
	// restSpread is the part of a rest by which nodes lengthen it at most, each by its own.
	restSpread = 0.2
	// tieWeight spreads attempts among upstreams that cost about the same.
	tieWeight = 0.05
	// delayStep is by which part a wait moves the usual one: it follows a change
	// of four times within ten attempts.
	delayStep = 0.15
	// meanGain is the weight of a new attempt in the mean work.
	meanGain = 0.02
	// leastTokens and leastWeight keep an attempt's work above nothing.
	leastTokens = 64
	leastWeight = 0.05
	// partMemory is how long a part is taken to stay cached after its last
	// use, mostParts how many are remembered for an upstream.
	partMemory = 8 * time.Second
	mostParts  = 4096
)
