package node

import (
	"time"

	"github.com/hickorybank/hickorybank/internal/crashguard"
)

// The guard's part of the record of crashes.

func (c *crashParts) summary() crashguard.Summary {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.guard.Summary(time.Now())
}

func (c *crashParts) held(now time.Time) []crashguard.HeldKey {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.guard.Held(now)
}

func (c *crashParts) pardon(key crashguard.Key) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.guard.Pardon(key, time.Now()) {
		return false
	}
	c.node.recorder.noteEvidence()
	c.wake()
	return true
}

func (c *crashParts) hasUnrecorded(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.guard.HasUnrecorded(now)
}

func (c *crashParts) mergeRecord(r crashguard.Record, starts bool, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.guard.MergeRecord(r, wallClock, starts, now) {
		c.wake()
	}
}

func (c *crashParts) draft(held crashguard.Record, now time.Time) (*crashguard.Draft, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.guard.Draft(held, wallClock, now)
}

func (c *crashParts) noteRecorded(d *crashguard.Draft) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.guard.NoteRecorded(d)
}
