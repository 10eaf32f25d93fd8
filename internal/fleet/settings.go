package fleet

import (
	"time"

	"github.com/hickorybank/hickorybank/internal/prefixcache"
)

// Settings are a fleet's parameters that depend on the node.
type Settings struct {
	// Domain is this node's failure domain.
	Domain string
	// Regions maps each failure domain's name to its region.
	Regions map[string]string
	// Origin identifies this run of the node among the runs of all nodes.
	Origin uint64
}

const (
	// ejectBase is how long an upstream is ejected after a failure to reach it. The time
	// doubles with each further failure in a row.
	ejectBase = 400 * time.Millisecond
	// maxEjection caps that time. A crashed upstream is usually back within a few seconds
	// under a new ID, which starts without an ejection.
	maxEjection = 4 * time.Second
	// errorHalfLife is the half-life of the weight of past failures.
	errorHalfLife = 4 * time.Second
	// loadFreshFor is how long a load report has its full weight. Engines report a few
	// hundred milliseconds late, and half of their waiting requests have started by then.
	// Afterwards the weight halves every loadHalfLife.
	loadFreshFor = 200 * time.Millisecond
	loadHalfLife = 400 * time.Millisecond
	// sampleSize is the number of upstreams that are compared for an attempt, in addition
	// to the affinity upstreams of its prefix.
	sampleSize = 5
	// maxDraws is the number of random upstreams that are examined for a sample before all
	// are.
	maxDraws = 32
	// loadSampleSize is about the number of upstreams from which a service's load is
	// estimated.
	loadSampleSize = 64
	// affinityWindow is the number of neighbouring upstreams among which a block's affinity
	// upstreams are selected.
	affinityWindow = 64
	// affinityWidth is the maximum number of upstreams that requests with the same prefix
	// block go to. The second one takes over when the first is loaded.
	affinityWidth = prefixcache.MaxHolders
	// affinityCachedShare is the share of a prompt's shared tokens that the first affinity
	// upstream is assumed to have cached; the second one counts half of it.
	affinityCachedShare = 0.8
	// fillWeight is the cost of a full batch in units of mean work. overflowWeight is the
	// cost of each further batch of waiting requests.
	fillWeight     = 1.0
	overflowWeight = 20.0
	// evictionWeight is the cost of a shared token that is prefilled again, for any model, in
	// tokens of the largest model: it takes the memory of another one, which is then read
	// again. delayWeight is its cost relative to the time of reading it, which delays the
	// other requests of the batch.
	evictionWeight = 3.0
	delayWeight    = 3.0
	// remotePenalty is the cost, in units of mean work, of an upstream in another failure
	// domain.
	remotePenalty = 0.05
	// rateBoundPenalty is the cost, in units of mean work, of an upstream with a rate
	// bound. Its capacity is better kept for requests that find none elsewhere.
	rateBoundPenalty = 1.0
	// errorPenalty is the relative increase in cost if all recent attempts failed.
	errorPenalty = 4.0
	// maxBackoffJitter is the maximum fraction by which nodes extend a back-off, each by
	// its own.
	maxBackoffJitter = 0.2
	// tieWeight is the range of the random cost that spreads attempts among upstreams with
	// about the same cost.
	tieWeight = 0.05
	// waitStep is the relative change of the typical wait by one attempt. The estimate
	// follows a fourfold change within ten attempts.
	waitStep = 0.15
	// meanWorkGain is the weight of a new attempt in the moving average of the work.
	meanWorkGain = 0.02
	// minTokens and minWeight keep an attempt's work above 0.
	minTokens = 64
	minWeight = 0.05
)
