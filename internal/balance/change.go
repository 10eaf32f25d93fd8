package balance

import "github.com/hickorybank/hickorybank/internal/platform"

// Change is a state change of an upstream that operators may want to see.
type Change struct {
	VM   platform.VM
	Kind ChangeKind
}

// ChangeKind is the kind of a [Change].
type ChangeKind int

// The kinds of changes.
const (
	// Opened: the upstream's breaker opened; it gets no work.
	Opened ChangeKind = iota
	// Closed: the upstream's breaker closed; it gets work again.
	Closed
	// Ejected: the upstream is slow or fails some of its requests, and gets little work.
	Ejected
	// LimitBegan and LimitEnded: the upstream started or stopped advertising a rate limit.
	LimitBegan
	LimitEnded
	// BackoffBegan: the upstream requested a back-off from this node.
	BackoffBegan
)

// maxPendingChanges bounds the changes held for the next call of Changes; later ones are
// dropped.
const maxPendingChanges = 256

// Changes returns the changes since the last call, at most 256 of them.
func (b *Balancer) Changes() []Change {
	changes := b.changes
	b.changes = nil
	return changes
}

func (b *Balancer) recordChange(h *host, kind ChangeKind) {
	if len(b.changes) < maxPendingChanges {
		b.changes = append(b.changes, Change{VM: h.vm, Kind: kind})
	}
}
