package suspect

import (
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/hickorybank/hickorybank/internal/request"
)

const (
	// convictionCrashes is the number of crashes that convicts a request.
	convictionCrashes = 2
	// maxCrashes bounds the crashes kept for one fingerprint.
	maxCrashes = 8
)

// entry is one record in the store. Times are since the tracker's base.
type entry struct {
	fingerprint request.Fingerprint
	crashes     []CrashID
	cleared     []CrashID
	// crashedAt is when the last crash became known here.
	crashedAt   time.Duration
	convictedAt time.Duration
	expiresAt   time.Duration
	// version is the store's version at the entry's last change.
	version uint64
}

// crashCount counts the crashes that the request is not cleared of; proven leaves out
// doubts.
func (e *entry) crashCount() (all, proven int) {
	if e == nil {
		return 0, 0
	}
	for _, c := range e.crashes {
		if contains(e.cleared, c) {
			continue
		}
		all++
		if !c.Doubt {
			proven++
		}
	}
	return all, proven
}

func (e *entry) suspect() bool {
	all, _ := e.crashCount()
	return all > 0
}

func (e *entry) record(now time.Duration) Record {
	r := Record{Fingerprint: e.fingerprint, Crashes: e.crashes, Cleared: e.cleared, Left: e.expiresAt - now}
	if e.convictedAt != 0 {
		r.Since = now - e.convictedAt + 1
	}
	return r
}

// hash covers the lists only: the remaining times differ from node to node.
func (e *entry) hash() uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.Write(e.fingerprint[:])
	for _, c := range e.crashes {
		c.hashInto(&d)
	}
	_, _ = d.WriteString("cleared")
	for _, c := range e.cleared {
		c.hashInto(&d)
	}
	return d.Sum64()
}

func (c CrashID) hashInto(d *xxhash.Digest) {
	var b [9]byte
	binary.LittleEndian.PutUint64(b[:], c.Epoch)
	if c.Doubt {
		b[8] = 1
	}
	_, _ = d.WriteString(c.Upstream)
	_, _ = d.Write(b[:])
}

// merge adds the record's crashes and clearances. It reports whether any was new, and
// whether the entry knows more than the record.
func (e *entry) merge(r Record) (changed, more bool) {
	for _, c := range r.Crashes {
		if len(e.crashes) >= maxCrashes {
			break
		}
		var added bool
		e.crashes, added = insert(e.crashes, c)
		changed = changed || added
	}
	for _, c := range r.Cleared {
		if len(e.cleared) >= maxCrashes {
			break
		}
		var added bool
		e.cleared, added = insert(e.cleared, c)
		changed = changed || added
	}
	return changed, len(e.crashes) > len(r.Crashes) || len(e.cleared) > len(r.Cleared)
}
