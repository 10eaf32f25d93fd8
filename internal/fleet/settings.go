package fleet

import "time"

// Settings are the figures that choices go by.
type Settings struct {
	// Domain is this node's failure domain.
	Domain string
	// Nodes is how many nodes send to the same upstreams; at least 1.
	Nodes int
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
	// loadFresh is how long a load report counts in full; it halves after each
	// further span. Engines report some hundred milliseconds late.
	loadFresh = 500 * time.Millisecond
	// sampleSize is how many upstreams are weighed for an attempt, beside the
	// holders of its prompt part.
	sampleSize = 5
	// affinityWidth is how many upstreams share one prompt part: a second one
	// takes over where the first is loaded.
	affinityWidth = 2
	// affinityGain is the load, as a share of the slots, that a cached prompt
	// part outweighs.
	affinityGain = 0.25
	// remotePenalty is the load, as a share of the slots, that staying in the
	// failure domain outweighs.
	remotePenalty = 0.02
	// errorPenalty is what a share of failed attempts counts as load.
	errorPenalty = 1.5
)
