package admission

import "time"

// Limit is an organisation's bound over all nodes.
type Limit struct {
	Org       string
	PerSecond float64
}

// Summary tells a holder what a node was asked for. It may be sent again.
type Summary struct {
	From string
	// To is the node that holds these organisations' limits.
	To string
	// Seq grows with each summary of From, also over restarts.
	Seq     uint64
	Demands []Demand
	// Collect says that To is asked as the collector of the sender's failure
	// domain, not as a holder.
	Collect bool
}

// Demand is what one organisation asked of one node.
type Demand struct {
	Org string
	// PerSecond is the smoothed rate of requests offered, refused ones included.
	PerSecond float64
	// Held is the share granted to the node that has not run out; of a
	// collector, also what its nodes hold if that is more.
	Held float64
	// HeldSeq is the Seq of the grant that Held came with.
	HeldSeq uint64
}

// Grant answers a summary with the node's shares. It carries the summary's
// Seq.
type Grant struct {
	From   string
	Seq    uint64
	Shares []Share
	// Valid is how long the shares count from the sending of the summary.
	Valid time.Duration
}

// Share is a node's part of an organisation's limit, without its reserve.
type Share struct {
	Org       string
	PerSecond float64
	// Valid is how long the share counts if not as long as its grant says; 0
	// means as long as the grant.
	Valid time.Duration
}

func (s Share) validFor(g Grant) time.Duration {
	if s.Valid == 0 {
		return g.Valid
	}
	return s.Valid
}
