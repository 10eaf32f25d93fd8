package prefixcache

import (
	"math"
	"time"
)

const (
	// ways is the number of entries among which a new key takes the place of the one that was
	// used longest ago.
	ways = 4
	// sets is the number of such groups. All entries take 393 kB.
	sets = 4096
	// usesHalfLife is the half-life of a use's weight.
	usesHalfLife = 4 * time.Second
)

// Table holds for each key when it was last used and how often lately. Its size is fixed, so
// that a key that was not used for long may be forgotten. The zero value is empty.
type Table struct {
	entries []entry
}

// entry is the uses of one key; its uses are as of lastUse, in Unix nanoseconds.
type entry struct {
	key     uint64
	lastUse int64
	uses    float64
}

// Touch records a use of a key.
func (t *Table) Touch(key uint64, now time.Time) {
	if t.entries == nil {
		t.entries = make([]entry, ways*sets)
	}
	set := t.set(key)
	oldest := &set[0]
	for i := range set {
		if set[i].key == key {
			set[i].uses = set[i].usesAt(now) + 1
			set[i].lastUse = now.UnixNano()
			return
		}
		if set[i].lastUse < oldest.lastUse {
			oldest = &set[i]
		}
	}
	*oldest = entry{key: key, lastUse: now.UnixNano(), uses: 1}
}

// Age returns the time since the key's last use; known is false without one.
func (t *Table) Age(key uint64, now time.Time) (age time.Duration, known bool) {
	if e := t.find(key); e != nil {
		return max(time.Duration(now.UnixNano()-e.lastUse), 0), true
	}
	return 0, false
}

// Rate returns how often the key was used lately, per second. A single use counts as none.
func (t *Table) Rate(key uint64, now time.Time) float64 {
	if e := t.find(key); e != nil {
		return max(e.usesAt(now)-1, 0) * math.Ln2 / usesHalfLife.Seconds()
	}
	return 0
}

func (t *Table) set(key uint64) []entry {
	first := int(key%sets) * ways
	return t.entries[first : first+ways]
}

func (t *Table) find(key uint64) *entry {
	if t.entries == nil {
		return nil
	}
	set := t.set(key)
	for i := range set {
		if set[i].key == key && set[i].uses > 0 {
			return &set[i]
		}
	}
	return nil
}

func (e *entry) usesAt(now time.Time) float64 {
	return e.uses * math.Exp2(-float64(max(now.UnixNano()-e.lastUse, 0))/float64(usesHalfLife))
}
