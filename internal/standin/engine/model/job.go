package model

// jobState is the phase of a job.
type jobState uint8

const (
	free jobState = iota
	queued
	prefilling
	decoding
)

// job is a request that is queued or running.
type job struct {
	req Request
	// arrival is the number of the request in the order of arrival.
	arrival uint64
	// dueStep is the step at whose end a job in the batch has its next event: its first
	// token or its last one.
	dueStep uint64
	// firstTokenStep is the step at whose end the first token was produced.
	firstTokenStep uint64
	// reuses counts the jobs that the slot has held, this one included.
	reuses uint32
	// heapIndex is the position in the queue or the batch.
	heapIndex int32
	state     jobState
	cached    bool
}

// weight returns the job's share in the weight of the batch.
func (j *job) weight() int {
	if j.state == prefilling {
		return PrefillWeight
	}
	return 1
}

// jobSlab is a slab of jobs whose slots are reused.
type jobSlab struct {
	slab []job
	free []int32
}

func (s *jobSlab) allocate(r Request, arrival uint64) int32 {
	var slot int32
	if n := len(s.free); n > 0 {
		slot = s.free[n-1]
		s.free = s.free[:n-1]
	} else {
		slot = int32(len(s.slab))
		s.slab = append(s.slab, job{})
	}
	reuses := s.slab[slot].reuses + 1
	s.slab[slot] = job{req: r, arrival: arrival, reuses: reuses, state: queued}
	return slot
}

func (s *jobSlab) release(slot int32) {
	s.slab[slot].state = free
	s.free = append(s.free, slot)
}

// find returns the job of a ticket, or nil if its slot has been released.
func (s *jobSlab) find(t Ticket) *job {
	slot := t.slot()
	if slot < 0 || int(slot) >= len(s.slab) {
		return nil
	}
	j := &s.slab[slot]
	if j.state == free || j.reuses != t.reuses() {
		return nil
	}
	return j
}
