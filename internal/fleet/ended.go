package fleet

import "slices"

// WasReplaced reports whether an upstream has ended without having left: another one has taken its
// address or its ID.
func (f *Fleet) WasReplaced(u *Upstream) bool {
	current := f.byID[u.ID]
	if current == u {
		return u.replaced && !u.isLeaving()
	}
	d, known := f.dropped[u.Incarnation()]
	return current != nil && known && !d.left && !u.announced.Leaving()
}

// IsFoundClosed reports whether this node or another one lately found the upstream's address closed.
func (f *Fleet) IsFoundClosed(u *Upstream) bool {
	_, closed := f.closedAt[u]
	return closed || slices.Contains(f.closedElsewhere, flightKey(&u.Record))
}
