package choice

// Room is what the upstreams that a node deals with can do for a version.
type Room struct {
	// Engines are the usable engines that are known to have it.
	Engines int
	// Unsure says that none is known to have it, but that there are engines
	// of which it is not known yet what they have.
	Unsure bool
	// Share is the part, from 0 to 1, of the requests that would take the
	// version which it has room for now.
	Share float64
}

// None says that no engine can run the version now.
func (r Room) None() bool { return r.Engines == 0 && !r.Unsure }

// rooms sorts the versions that may be used by what there is room for.
type rooms struct {
	// free have room for this request, loaded an engine, unsure perhaps one.
	free   uint64
	loaded uint64
	unsure uint64
	// all are those that may be used, with or without an engine.
	all uint64
}

// add takes in that the version with the index may be used.
func (s *rooms) add(index int, room Room, draw float64) {
	bit := uint64(1) << index
	s.all |= bit
	switch {
	case room.Engines > 0:
		s.loaded |= bit
		if draw < room.Share {
			s.free |= bit
		}
	case room.Unsure:
		s.unsure |= bit
	}
}

// best returns the versions to plan with. When no engine can run any, they are
// planned with all the same: the upstreams' refusal then says why, and when to
// come back.
func (s *rooms) best() uint64 {
	for _, set := range []uint64{s.free, s.loaded, s.unsure} {
		if set != 0 {
			return set
		}
	}
	return s.all
}

// room is what there is for the version at a place of the request's list. A
// caller that gives no rooms knows nothing of upstreams.
func (c *call) room(i int) Room {
	if len(c.req.Rooms) == 0 {
		return Room{Engines: 1, Share: 1}
	}
	return c.req.Rooms[i]
}
