package model

// slotHeap is a binary heap of slots of the slab. It knows where each slot
// stands, so that one can be taken out of the middle. container/heap is not
// used because its interface calls cost more than the steps themselves.
type slotHeap struct {
	slots []int32
	less  func(a, b *job) bool
}

// byDue puts the job first to which something happens next.
func byDue(a, b *job) bool {
	if a.due != b.due {
		return a.due < b.due
	}
	return a.order < b.order
}

// byPriority puts the job first that joins the batch next.
func byPriority(a, b *job) bool {
	if a.req.Priority != b.req.Priority {
		return a.req.Priority < b.req.Priority
	}
	return a.order < b.order
}

func (h *slotHeap) len() int { return len(h.slots) }

func (h *slotHeap) top() int32 { return h.slots[0] }

func (h *slotHeap) push(slab []job, slot int32) {
	h.slots = append(h.slots, slot)
	h.up(slab, len(h.slots)-1)
}

// remove takes the slot out, wherever it stands.
func (h *slotHeap) remove(slab []job, slot int32) {
	i := int(slab[slot].place)
	last := len(h.slots) - 1
	moved := h.slots[last]
	h.slots = h.slots[:last]
	if i == last {
		return
	}
	h.slots[i] = moved
	slab[moved].place = int32(i)
	h.down(slab, i)
	h.up(slab, int(slab[moved].place))
}

// fix restores the order after the top's key has grown.
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
	slab[slot].place = int32(i)
}
