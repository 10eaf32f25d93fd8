package balance

import "github.com/hickorybank/hickorybank/internal/platform"

// Change is something that an operator may want to know of an upstream.
type Change struct {
	VM   platform.VM
	Kind ChangeKind
}

// ChangeKind is what has changed.
type ChangeKind int

// The kinds of changes.
const (
	// Opened: the upstream's breaker keeps work away.
	Opened ChangeKind = iota
	// Closed: its breaker lets work through again.
	Closed
	// Ejected: it is slow but alive, and gets little work.
	Ejected
	// LimitBegan and LimitEnded: the upstream names a rate limit, or no longer does.
	LimitBegan
	LimitEnded
	// RestBegan: the upstream wants nothing from this node for a while.
	RestBegan
)

// changesKept bounds the changes that nobody has taken.
const changesKept = 256

// Changes returns what has changed since the last call.
func (b *Balancer) Changes() []Change {
	out := b.changes
	b.changes = nil
	return out
}

func (b *Balancer) changed(h *host, kind ChangeKind) {
	if len(b.changes) < changesKept {
		b.changes = append(b.changes, Change{VM: h.vm, Kind: kind})
	}
}
