package suspect

import (
	"bytes"
	"slices"
	"time"

	"github.com/hickorybank/hickorybank/internal/request"
)

// store holds the records of one node.
type store struct {
	settings *Settings
	entries  map[request.Fingerprint]*entry
	// digest is the exclusive or of all entries' hashes.
	digest  uint64
	version uint64
	sweptAt time.Duration
}

func newStore(s *Settings) store {
	return store{settings: s, entries: map[request.Fingerprint]*entry{}}
}

func (s *store) get(f request.Fingerprint) *entry { return s.entries[f] }

// mergeResult is the outcome of a merge.
type mergeResult struct {
	// learned is set if the store got new crashes or clearances.
	learned bool
	// hasMore is set if the store knows more than the record.
	hasMore bool
}

// merge adds a record to the store.
func (s *store) merge(r Record, now time.Duration) mergeResult {
	if r.Left <= 0 {
		return mergeResult{}
	}
	e := s.entries[r.Fingerprint]
	isNew := e == nil
	if isNew {
		e = &entry{fingerprint: r.Fingerprint}
	} else {
		s.digest ^= e.hash()
	}
	before, _ := e.crashCount()
	changed, more := e.merge(r)
	after, _ := e.crashCount()
	e.expiresAt = max(e.expiresAt, now+r.Left)
	if after > before {
		e.crashedAt = now
	}
	if convictedAt := now - r.Since; after >= convictionCrashes && (e.convictedAt == 0 || convictedAt < e.convictedAt) {
		e.convictedAt = convictedAt
	}
	s.digest ^= e.hash()
	if isNew {
		s.entries[r.Fingerprint] = e
		s.evict()
	}
	if changed {
		s.version++
		e.version = s.version
	}
	return mergeResult{learned: changed, hasMore: more}
}

// extend renews the expiry of a convicted fingerprint that is still being sent.
func (s *store) extend(e *entry, now time.Duration) {
	if e.convictedAt == 0 {
		return
	}
	e.expiresAt = max(e.expiresAt, min(now+s.settings.RecordTTL, e.convictedAt+s.settings.MaxConvictionTTL))
}

// sweepInterval is the time between two searches for expired entries.
const sweepInterval = time.Second

func (s *store) removeExpired(now time.Duration) {
	if now < s.sweptAt+sweepInterval {
		return
	}
	s.sweptAt = now
	for f, e := range s.entries {
		if now >= e.expiresAt {
			s.digest ^= e.hash()
			delete(s.entries, f)
		}
	}
}

// evict drops the entry with the fewest crashes if there are too many. All nodes drop the
// same one, so that their digests stay equal.
func (s *store) evict() {
	if len(s.entries) <= s.settings.MaxRecords {
		return
	}
	var least *entry
	for _, e := range s.entries {
		if least == nil || e.fewerCrashes(least) {
			least = e
		}
	}
	s.digest ^= least.hash()
	delete(s.entries, least.fingerprint)
}

func (e *entry) fewerCrashes(o *entry) bool {
	mine, _ := e.crashCount()
	theirs, _ := o.crashCount()
	if mine != theirs {
		return mine < theirs
	}
	return bytes.Compare(e.fingerprint[:], o.fingerprint[:]) < 0
}

// records returns all records, sorted by fingerprint.
func (s *store) records(now time.Duration) []Record {
	list := make([]Record, 0, len(s.entries))
	for _, e := range s.entries {
		if e.expiresAt > now {
			list = append(list, e.record(now))
		}
	}
	slices.SortFunc(list, func(a, b Record) int { return bytes.Compare(a.Fingerprint[:], b.Fingerprint[:]) })
	return list
}
