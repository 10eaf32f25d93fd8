package sim

import (
	"container/heap"
	"time"
)

// event is a function to call at a virtual time; seq orders events of the same time.
type event struct {
	at  time.Duration
	seq uint64
	do  func()
}

// scheduler runs events in order of virtual time.
type scheduler struct {
	now    time.Duration
	seq    uint64
	events eventHeap
}

// after schedules do after a delay.
func (a *scheduler) after(d time.Duration, do func()) {
	a.seq++
	heap.Push(&a.events, event{at: a.now + d, seq: a.seq, do: do})
}

// run runs events until none is left.
func (a *scheduler) run() {
	for len(a.events) > 0 {
		e := heap.Pop(&a.events).(event)
		a.now = e.at
		e.do()
	}
}

type eventHeap []event

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	if h[i].at != h[j].at {
		return h[i].at < h[j].at
	}
	return h[i].seq < h[j].seq
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *eventHeap) Push(x any) { *h = append(*h, x.(event)) }

// Pop implements heap.Interface.
func (h *eventHeap) Pop() any {
	last := len(*h) - 1
	e := (*h)[last]
	*h = (*h)[:last]
	return e
}
