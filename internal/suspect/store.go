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
	swept   time.Duration
}

func newStore(s *Settings) store {
	return store{settings: s, entries: map[request.Fingerprint]*entry{}}
}

func (s *store) get(f request.Fingerprint) *entry { return s.entries[f] }

// change is what a merge did.
type change struct {
	// news: the store learnt something.
	news bool
	// more: the store knows more than the record that came.
	more bool
}

// merge takes a record in.
func (s *store) merge(r Record, now time.Duration) change {
	if r.Left <= 0 {
		return change{}
	}
	e := s.entries[r.Fingerprint]
	fresh := e == nil
	if fresh {
		e = &entry{fingerprint: r.Fingerprint}
	} else {
		s.digest ^= e.hash()
	}
	all, _ := e.strikes()
	news, more := e.merge(r)
	after, _ := e.strikes()
	e.expires = max(e.expires, now+r.Left)
	if after > all {
		e.crashed = now
	}
	if since := now - r.Since; after >= convicting && (e.convicted == 0 || since < e.convicted) {
		e.convicted = since
	}
	s.digest ^= e.hash()
	if fresh {
		s.entries[r.Fingerprint] = e
		s.evict()
	}
	if news {
		s.version++
		e.version = s.version
	}
	return change{news: news, more: more}
}

// touch remembers a convicted fingerprint that is still being sent.
func (s *store) touch(e *entry, now time.Duration) {
	if e.convicted == 0 {
		return
	}
	e.expires = max(e.expires, min(now+s.settings.Expiry, e.convicted+s.settings.MaxLife))
}

// sweepGap is how often expired entries are looked for.
const sweepGap = time.Second

func (s *store) sweep(now time.Duration) {
	if now < s.swept+sweepGap {
		return
	}
	s.swept = now
	for f, e := range s.entries {
		if now >= e.expires {
			s.digest ^= e.hash()
			delete(s.entries, f)
		}
	}
}

// evict drops the entry with the fewest crashes when there are too many. All
// nodes drop the same one, so that their records stay alike.
func (s *store) evict() {
	if len(s.entries) <= s.settings.MaxRecords {
		return
	}
	var least *entry
	for _, e := range s.entries {
		if least == nil || e.lighter(least) {
			least = e
		}
	}
	s.digest ^= least.hash()
	delete(s.entries, least.fingerprint)
}

func (e *entry) lighter(o *entry) bool {
	mine, _ := e.strikes()
	its, _ := o.strikes()
	if mine != its {
		return mine < its
	}
	return bytes.Compare(e.fingerprint[:], o.fingerprint[:]) < 0
}

// records returns all of them, in the order of their fingerprints.
func (s *store) records(now time.Duration) []Record {
	list := make([]Record, 0, len(s.entries))
	for _, e := range s.entries {
		if e.expires > now {
			list = append(list, e.record(now))
		}
	}
	slices.SortFunc(list, func(a, b Record) int { return bytes.Compare(a.Fingerprint[:], b.Fingerprint[:]) })
	return list
}
