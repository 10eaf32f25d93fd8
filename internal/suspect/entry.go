package suspect

import (
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/hickorybank/hickorybank/internal/request"
)

const (
	// convicting is how many crashes convict.
	convicting = 2
	// maxCrashes bounds the crashes kept of one fingerprint.
	maxCrashes = 8
)

// entry is one record in the store. Times are since the tracker's base.
type entry struct {
	fingerprint request.Fingerprint
	crashes     []CrashID
	cleared     []CrashID
	// crashed is when the last crash became known here.
	crashed   time.Duration
	convicted time.Duration
	expires   time.Duration
	// version counts the changes of the whole store.
	version uint64
}

// strikes counts the crashes that it has not been cleared of; proven leaves
// out doubts.
func (e *entry) strikes() (all, proven int) {
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
	all, _ := e.strikes()
	return all > 0
}

func (e *entry) record(now time.Duration) Record {
	r := Record{Fingerprint: e.fingerprint, Crashes: e.crashes, Cleared: e.cleared, Left: e.expires - now}
	if e.convicted != 0 {
		r.Since = now - e.convicted + 1
	}
	return r
}

// hash is of the lists; the time that is left differs from node to node.
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

// merge adds what r knows and says whether that was new, and whether the entry
// knows more than r.
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
