package balance

// PolicyName names a way of choosing among the usable upstreams.
type PolicyName string

// The policies. All but [PolicyAffinity] stay as baselines for measurements.
const (
	PolicyRoundRobin  PolicyName = "round-robin"
	PolicyRandom      PolicyName = "random"
	PolicyLeastLoaded PolicyName = "least-loaded"
	PolicyTwoChoices  PolicyName = "two-choices"
	PolicyAffinity    PolicyName = "affinity"
)
