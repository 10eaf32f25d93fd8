package confsync

import (
	"time"

	"github.com/hickorybank/hickorybank/internal/platform"
)

// minDownTime and maxDownTime bound how long a peer is marked down.
const (
	minDownTime = 3 * time.Second
	maxDownTime = 30 * time.Second
)

// downMarks are the peers that did not respond, by ID. A mark expires after a time that
// doubles with each failure.
type downMarks map[string]downMark

type downMark struct {
	until   time.Duration
	backoff time.Duration
}

func (d downMarks) has(id string, now time.Duration) bool {
	mark, ok := d[id]
	return ok && now < mark.until
}

func (d downMarks) add(id string, now time.Duration) {
	backoff := min(max(minDownTime, 2*d[id].backoff), maxDownTime)
	d[id] = downMark{until: now + backoff, backoff: backoff}
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
