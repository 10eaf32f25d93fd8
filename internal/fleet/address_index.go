package fleet

// addressIndex finds the upstreams that are listed at an address. Several are while a
// crashed one stays listed beside its successor.
type addressIndex map[string]*Upstream

func (x addressIndex) add(u *Upstream) {
	u.nextAtAddr = x[u.Addr]
	x[u.Addr] = u
}

func (x addressIndex) remove(u *Upstream) {
	if x[u.Addr] == u {
		if u.nextAtAddr == nil {
			delete(x, u.Addr)
		} else {
			x[u.Addr] = u.nextAtAddr
		}
	}
	for other := x[u.Addr]; other != nil; other = other.nextAtAddr {
		if other.nextAtAddr == u {
			other.nextAtAddr = u.nextAtAddr
		}
	}
	u.nextAtAddr = nil
}
