package sim

import (
	"container/heap"
	"time"
)

// event is a function to call at a virtual time. Events of the same time run in order
// of seq.
type event struct {
	at  time.Duration
	seq uint64
	do  func()
}

type eventHeap []event

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	return h[i].at < h[j].at || (h[i].at == h[j].at && h[i].seq < h[j].seq)
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *eventHeap) Push(x any) { *h = append(*h, x.(event)) }

// Pop implements heap.Interface.
func (h *eventHeap) Pop() any {
	last := len(*h) - 1
	e := (*h)[last]
	(*h)[last] = event{}
	*h = (*h)[:last]
	return e
}

// scheduler runs events in order of virtual time.
type scheduler struct {
	now    time.Duration
	events eventHeap
	seq    uint64
}

// at schedules do for time t, or for now if t has passed.
func (a *scheduler) at(t time.Duration, do func()) {
	a.seq++
	heap.Push(&a.events, event{at: max(t, a.now), seq: a.seq, do: do})
}

// after schedules do after a delay.
func (a *scheduler) after(d time.Duration, do func()) { a.at(a.now+d, do) }

// runUntil runs the events that are due until end, and sets the time to end.
func (a *scheduler) runUntil(end time.Duration) {
	for len(a.events) > 0 && a.events[0].at <= end {
		e := heap.Pop(&a.events).(event)
		a.now = e.at
		e.do()
	}
	a.now = end
}
