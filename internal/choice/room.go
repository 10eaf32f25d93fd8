package choice

// VersionCapacity is the capacity of the upstreams known to a node for one version.
type VersionCapacity struct {
	// Engines is the number of usable engines that are known to have the version.
	Engines int
	// Unknown is set when no engine is known to have the version, but the versions of some
	// engines are not known yet.
	Unknown bool
	// Share is the share, in [0,1], of the version's requests that the engines have
	// capacity for now.
	Share float64
}

// None reports whether no engine can run the version now.
func (r VersionCapacity) None() bool { return r.Engines == 0 && !r.Unknown }

// capacitySets groups versions, as sets of indices, by capacity.
type capacitySets struct {
	// free have capacity for this request, loaded an engine that has them, unknown
	// possibly one.
	free    uint64
	loaded  uint64
	unknown uint64
	// all are the versions that may be used, with or without an engine.
	all uint64
}

// add adds the version with the index.
func (s *capacitySets) add(index int, capacity VersionCapacity, draw float64) {
	bit := uint64(1) << index
	s.all |= bit
	switch {
	case capacity.Engines > 0:
		s.loaded |= bit
		if draw < capacity.Share {
			s.free |= bit
		}
	case capacity.Unknown:
		s.unknown |= bit
	}
}

// best returns the versions to plan with. If no engine can run any of them, all are
// returned: the refusal of the upstreams then gives the reason and the time to retry.
func (s *capacitySets) best() uint64 {
	for _, set := range []uint64{s.free, s.loaded, s.unknown} {
		if set != 0 {
			return set
		}
	}
	return s.all
}

// capacity returns the capacity for the version at index i of the request. A request without
// Capacities has no information on upstreams.
func (c *decision) capacity(i int) VersionCapacity {
	if len(c.req.Capacities) == 0 {
		return VersionCapacity{Engines: 1, Share: 1}
	}
	return c.req.Capacities[i]
}
