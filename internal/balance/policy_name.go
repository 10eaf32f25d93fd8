package balance

// PolicyName names an algorithm for choosing among the usable upstreams.
type PolicyName string

// The policies. All but [PolicyAffinity] stay as baselines for measurements.
const (
	// PolicyRoundRobin takes the upstreams in turn, whatever their load.
	PolicyRoundRobin PolicyName = "round-robin"
	// PolicyRandom takes a random upstream, whatever its load.
	PolicyRandom PolicyName = "random"
	// PolicyLeastLoaded takes the upstream with the lowest reported load.
	PolicyLeastLoaded PolicyName = "least-loaded"
	// PolicyTwoChoices takes the better one of two random upstreams.
	PolicyTwoChoices PolicyName = "two-choices"
	// PolicyAffinity keeps a prefix on one upstream within a load bound.
	PolicyAffinity PolicyName = "affinity"
)
