package sim

import (
	"container/heap"
	"time"
)

// item is something to do at a time; items of one time go in order of seq.
type item struct {
	at  time.Duration
	seq uint64
	do  func()
}

type items []item

func (h items) Len() int { return len(h) }
func (h items) Less(i, j int) bool {
	return h[i].at < h[j].at || (h[i].at == h[j].at && h[i].seq < h[j].seq)
}
func (h items) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push is for container/heap.
func (h *items) Push(x any) { *h = append(*h, x.(item)) }

// Pop is for container/heap.
func (h *items) Pop() any {
	last := len(*h) - 1
	it := (*h)[last]
	(*h)[last] = item{}
	*h = (*h)[:last]
	return it
}

// agenda is what is still to be done.
type agenda struct {
	now   time.Duration
	items items
	seq   uint64
}

func (a *agenda) at(t time.Duration, do func()) {
	a.seq++
	heap.Push(&a.items, item{at: max(t, a.now), seq: a.seq, do: do})
}

func (a *agenda) after(d time.Duration, do func()) { a.at(a.now+d, do) }

// runUntil does what is due by end.
func (a *agenda) runUntil(end time.Duration) {
	for len(a.items) > 0 && a.items[0].at <= end {
		it := heap.Pop(&a.items).(item)
		a.now = it.at
		it.do()
	}
	a.now = end
}
