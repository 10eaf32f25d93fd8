package admission

import "time"

// ticket is one request that waits or runs. Times are offsets from the queue's base.
type ticket struct {
	id       string
	seq      uint64 // order of arrival
	org      string
	weight   float64
	rank     rank
	pool     *pool
	offered  time.Duration
	deadline time.Duration
	cost     float64
	running  bool
	index    int // in its flow's heap
}

// less orders by deadline, then by arrival.
func (t *ticket) less(o *ticket) bool {
	if t.deadline != o.deadline {
		return t.deadline < o.deadline
	}
	return t.seq < o.seq
}

// byDeadline is a heap of waiting tickets with the earliest deadline first.
type byDeadline []*ticket

func (h byDeadline) Len() int           { return len(h) }
func (h byDeadline) Less(i, j int) bool { return h[i].less(h[j]) }

func (h byDeadline) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index = i
	h[j].index = j
}

// Push implements heap.Interface.
func (h *byDeadline) Push(x any) {
	t := x.(*ticket)
	t.index = len(*h)
	*h = append(*h, t)
}

// Pop implements heap.Interface.
func (h *byDeadline) Pop() any {
	last := len(*h) - 1
	t := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	return t
}

// latest returns the waiting ticket with the latest deadline.
func (h byDeadline) latest() *ticket {
	latest := h[0]
	for _, t := range h[1:] {
		if latest.less(t) {
			latest = t
		}
	}
	return latest
}
