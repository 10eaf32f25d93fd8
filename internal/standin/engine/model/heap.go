package model

// slotHeap is a binary heap of slab slots. Each job stores its index in the heap, so that
// any slot can be removed. container/heap is not used, because its interface calls cost
// more than the steps themselves.
type slotHeap struct {
	slots []int32
	less  func(a, b *job) bool
}

// byDue orders jobs by the step of their next event, then by arrival.
func byDue(a, b *job) bool {
	if a.dueStep != b.dueStep {
		return a.dueStep < b.dueStep
	}
	return a.arrival < b.arrival
}

// byPriority orders jobs by priority, lower numbers first, then by arrival.
func byPriority(a, b *job) bool {
	if a.req.Priority != b.req.Priority {
		return a.req.Priority < b.req.Priority
	}
	return a.arrival < b.arrival
}

func (h *slotHeap) len() int { return len(h.slots) }

func (h *slotHeap) top() int32 { return h.slots[0] }

func (h *slotHeap) push(slab []job, slot int32) {
	h.slots = append(h.slots, slot)
	h.up(slab, len(h.slots)-1)
}

// remove removes a slot at any position.
func (h *slotHeap) remove(slab []job, slot int32) {
	i := int(slab[slot].heapIndex)
	last := len(h.slots) - 1
	moved := h.slots[last]
	h.slots = h.slots[:last]
	if i == last {
		return
	}
	h.slots[i] = moved
	slab[moved].heapIndex = int32(i)
	h.down(slab, i)
	h.up(slab, int(slab[moved].heapIndex))
}

// fix restores the order after the key of the top slot has increased.
func (h *slotHeap) fix(slab []job) { h.down(slab, 0) }

func (h *slotHeap) up(slab []job, i int) {
	slot := h.slots[i]
	for i > 0 {
		parent := (i - 1) / 2
		if !h.less(&slab[slot], &slab[h.slots[parent]]) {
			break
		}
		h.set(slab, i, h.slots[parent])
		i = parent
	}
	h.set(slab, i, slot)
}

func (h *slotHeap) down(slab []job, i int) {
	slot := h.slots[i]
	for {
		child := 2*i + 1
		if child >= len(h.slots) {
			break
		}
		if right := child + 1; right < len(h.slots) && h.less(&slab[h.slots[right]], &slab[h.slots[child]]) {
			child = right
		}
		if !h.less(&slab[h.slots[child]], &slab[slot]) {
			break
		}
		h.set(slab, i, h.slots[child])
		i = child
	}
	h.set(slab, i, slot)
}

func (h *slotHeap) set(slab []job, i int, slot int32) {
	h.slots[i] = slot
	slab[slot].heapIndex = int32(i)
}
