package confsync

import "time"

// electorWindow is how long a smaller number of entry nodes is remembered. It is longer than
// the VM list lags at any node that may still rely on it.
const electorWindow = 10 * time.Minute

// electorHistory records the recent numbers of entry nodes.
type electorHistory struct {
	counts []electorCount
}

// electorCount is a number of entry nodes and the instant from which it held.
type electorCount struct {
	at time.Duration
	n  int
}

func (h *electorHistory) add(n int, now time.Duration) {
	if n == 0 {
		return
	}
	if last := len(h.counts) - 1; last >= 0 && h.counts[last].n == n {
		return
	}
	h.counts = append(h.counts, electorCount{at: now, n: n})
	h.prune(now)
}

// prune drops numbers that ceased to hold before the window.
func (h *electorHistory) prune(now time.Duration) {
	for len(h.counts) > 1 && now-h.counts[1].at > electorWindow {
		h.counts = h.counts[1:]
	}
}

// fewest returns the smallest number within the window; 0 without any.
func (h *electorHistory) fewest(now time.Duration) int {
	h.prune(now)
	fewest := 0
	for i, c := range h.counts {
		if i == 0 || c.n < fewest {
			fewest = c.n
		}
	}
	return fewest
}
