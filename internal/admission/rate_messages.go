package admission

import "time"

// Limit is an organisation's bound over all nodes.
type Limit struct {
	Org       string
	PerSecond float64
}

// Summary tells a holder what a node was asked for. It is idempotent.
type Summary struct {
	From string
	// To is the node that holds these organisations' limits.
	To string
	// Seq counts the summaries of From.
	Seq     uint64
	Demands []Demand
}

// Demand is what one organisation asked of one node.
type Demand struct {
	Org string
	// PerSecond is the smoothed rate of requests offered, refused ones included.
	PerSecond float64
}

// Grant answers a summary with the node's shares.
type Grant struct {
	From   string
	Seq    uint64
	Shares []Share
	// Valid is how long the shares count from the sending of the summary.
	Valid time.Duration
}

// Share is a node's part of an organisation's limit.
type Share struct {
	Org       string
	PerSecond float64
}
