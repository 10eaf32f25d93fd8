package model

// jobState is where a request stands.
type jobState uint8

const (
	free jobState = iota
	queued
	prefilling
	decoding
)

// job is a request that the engine holds.
type job struct {
	req Request
	// order is the request's place in the order of arrival.
	order uint64
	// due is the step at whose end the next thing happens to a job in the
	// batch: its first token or its last one.
	due uint64
	// first is the step at whose end the first token came.
	first  uint64
	round  uint32
	place  int32
	state  jobState
	cached bool
}

func (j *job) weight() int {
	if j.state == prefilling {
		return PrefillWeight
	}
	return 1
}

// jobs is a slab of jobs; slots are reused.
type jobs struct {
	slab []job
	free []int32
}

func (s *jobs) take(r Request, order uint64) int32 {
	var slot int32
	if n := len(s.free); n > 0 {
		slot = s.free[n-1]
		s.free = s.free[:n-1]
	} else {
		slot = int32(len(s.slab))
		s.slab = append(s.slab, job{})
	}
	round := s.slab[slot].round + 1
	s.slab[slot] = job{req: r, order: order, round: round, state: queued}
	return slot
}

func (s *jobs) release(slot int32) {
	s.slab[slot].state = free
	s.free = append(s.free, slot)
}

// find returns the job of a ticket, or nil when it has gone.
func (s *jobs) find(t Ticket) *job {
	slot := t.slot()
	if slot < 0 || int(slot) >= len(s.slab) {
		return nil
	}
	j := &s.slab[slot]
	if j.state == free || j.round != t.round() {
		return nil
	}
	return j
}
