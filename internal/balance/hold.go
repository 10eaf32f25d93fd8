package balance

import "time"

// holdKeeps is the part of the sums that is left after another sample; some
// twenty samples count.
const holdKeeps = 0.95

// hold is how long requests stay at an upstream, as this node's own do. Each
// counts by its length: of the requests that a load report counts, long ones
// are so much the more.
type hold struct {
	sum     float64 // seconds
	squares float64
}

func (h *hold) add(took time.Duration) {
	s := took.Seconds()
	h.sum = holdKeeps*h.sum + s
	h.squares = holdKeeps*h.squares + s*s
}

// mean is 0 when nothing is known.
func (h *hold) mean() time.Duration {
	if h.sum <= 0 {
		return 0
	}
	return time.Duration(h.squares / h.sum * float64(time.Second))
}
