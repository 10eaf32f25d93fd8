package prefixcache

// MaxHolders is the maximum number of upstreams that hold one block by demand.
const MaxHolders = 3

const (
	// loadedShare is the share of a holder's slots in use from which a block in demand has one
	// more holder, so that the next one has the block before the first is full.
	loadedShare = 0.5
	// wantedShare is the share of one upstream's slots that a block's requests take to be in
	// demand, popularShare that from which it has another holder at any load.
	wantedShare, popularShare = 0.0625, 0.125
	// discountSlope is how quickly the cost of another holder falls with the demand.
	discountSlope = 256.0
)

// Demand is the demand for a block over all nodes.
type Demand struct {
	// Running is the expected number of running requests that share the block, Slots the
	// number that one upstream runs.
	Running, Slots float64
}

// Discount returns the part of the cost of reading the block again that counts: a block in
// demand is used again where it was read, so that the reading pays.
func (d Demand) Discount() float64 { return 1 / (1 + discountSlope*d.Running/d.Slots) }

// NeedsAnother reports whether the block needs another holder after the first n, the last of
// which has a share of its slots in use.
func (d Demand) NeedsAnother(n int, load float64) bool {
	switch {
	case d.Running > popularShare*d.Slots*float64(n):
		return true
	case d.Running > wantedShare*d.Slots*float64(n):
		return load > loadedShare
	default:
		return false
	}
}
