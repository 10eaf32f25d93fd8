package confsync

import (
	"time"

	"github.com/hickorybank/hickorybank/internal/platform"
)

const (
	firstDownMark = 3 * time.Second
	lastDownMark  = 30 * time.Second
)

// downMarks name the peers that did not answer, by id, for a while that
// doubles with each failure.
type downMarks map[string]downMark

type downMark struct {
	until time.Duration
	gap   time.Duration
}

func (d downMarks) has(id string, now time.Duration) bool {
	mark, ok := d[id]
	return ok && now < mark.until
}

func (d downMarks) add(id string, now time.Duration) {
	gap := min(max(firstDownMark, 2*d[id].gap), lastDownMark)
	d[id] = downMark{until: now + gap, gap: gap}
}

func (d downMarks) remove(id string) { delete(d, id) }

func (d downMarks) keepOnly(members []platform.VM) {
	known := make(map[string]bool, len(members))
	for _, vm := range members {
		known[vm.ID] = true
	}
	for id := range d {
		if !known[id] {
			delete(d, id)
		}
	}
}
