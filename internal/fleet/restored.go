package fleet

import "time"

const (
	// maxDropped bounds the dropped incarnations that are remembered.
	maxDropped = 4096
	// goneFor is how long after a restore of the table an incarnation that was dropped before
	// gets no new work. The entry of one that has ended lapses within that time.
	goneFor = 6 * time.Second
)

// droppedUpstream is what is remembered of a dropped incarnation.
type droppedUpstream struct {
	// restores is how often the table had been restored by then.
	restores int
	// left is set if the incarnation had stated that it leaves.
	left bool
}

// NoteRestore records that the table was restored from an older copy. The copy may list
// upstreams that have left since, and those that leave as ready.
func (f *Fleet) NoteRestore(now time.Time) {
	f.restores++
	f.restoredAt = now
}

// rememberDropped remembers an incarnation that is dropped.
func (f *Fleet) rememberDropped(u *Upstream) {
	if len(f.dropped) >= maxDropped {
		clear(f.dropped)
	}
	f.dropped[u.Incarnation()] = droppedUpstream{f.restores, u.Draining || u.hasLeft}
}

// recallDropped applies what is remembered of an incarnation that is listed again. One that was
// dropped before a restore of the table has probably ended.
func (f *Fleet) recallDropped(u *Upstream, now time.Time) {
	d, known := f.dropped[u.Incarnation()]
	if !known {
		return
	}
	delete(f.dropped, u.Incarnation())
	u.hasLeft = d.left
	if end := f.restoredAt.Add(goneFor); d.restores < f.restores && now.Before(end) {
		u.goneUntil = end
	}
}
