package admission

import "time"

// Limit is an organisation's limit across all nodes, in requests per second.
type Limit struct {
	Org       string
	PerSecond float64
}

// Summary reports a node's or collector's demands to a holder or collector. It may arrive
// more than once.
type Summary struct {
	// From names the sender: a node by its ID, a collector also by its process.
	From string
	// To is the ID of the holder of these organisations' limits, or of the collector.
	To string
	// Seq increases with each summary of From, also across restarts.
	Seq     uint64
	Demands []Demand
	// Collect is set when To is addressed as the collector of the sender's failure
	// domain, not as a holder.
	Collect bool
}

// Demand is the request rate that one organisation offered at the sender.
type Demand struct {
	Org string
	// PerSecond is the smoothed rate of offered requests, refused ones included.
	PerSecond float64
	// Held is the sender's valid share, in requests per second. For a collector it also
	// covers what its nodes still hold, if that is more.
	Held float64
	// HeldSeq is the Seq of the grant from which Held comes.
	HeldSeq uint64
}

// Grant answers a summary with the sender's shares and repeats its Seq.
type Grant struct {
	From   string
	Seq    uint64
	Shares []Share
	// Valid is how long the shares are valid from the sending of the summary.
	Valid time.Duration
}

// Share is a share of an organisation's limit in requests per second, without the
// reserve.
type Share struct {
	Org       string
	PerSecond float64
	// Valid is how long the share is valid if that differs from its grant; 0 means as
	// long as the grant.
	Valid time.Duration
}

func (s Share) validFor(g Grant) time.Duration {
	if s.Valid == 0 {
		return g.Valid
	}
	return s.Valid
}
