package model

import "time"

const (
	perMille = 1000
	// cacheLogSize is how many cache events an engine keeps.
	cacheLogSize = 512
)

// CacheEventKind is the kind of a [CacheEvent].
type CacheEventKind uint8

const (
	// Stored means that the prefix was cached or imported.
	Stored CacheEventKind = iota
	// Evicted means that the prefix was removed to make room for another.
	Evicted
)

var cacheEventNames = [...]string{"stored", "evicted"}

// String returns the name of the kind, "stored" or "evicted".
func (k CacheEventKind) String() string { return cacheEventNames[k] }

// CacheEvent is one change of the prefix cache. A gap in the sequence numbers means that
// an event was never published or is no longer kept.
type CacheEvent struct {
	// Seq is the sequence number, counted from 1.
	Seq uint64
	// At is the time of the change since the engine's start.
	At time.Duration
	// Prefix is the hash of the prefix.
	Prefix uint64
	// Kind says what happened to the prefix.
	Kind CacheEventKind
}

// cacheLog publishes cache events with a delay and with gaps.
type cacheLog struct {
	delay        time.Duration
	gapsPerMille uint64
	seed         uint64
	lastSeq      uint64
	ring         []CacheEvent
}

func newCacheLog(cfg Config) cacheLog {
	return cacheLog{delay: cfg.CacheEventDelay, gapsPerMille: uint64(cfg.CacheEventGaps), seed: cfg.Seed}
}

func (l *cacheLog) add(at time.Duration, kind CacheEventKind, prefix uint64) {
	l.lastSeq++
	ev := CacheEvent{Seq: l.lastSeq, At: at, Prefix: prefix, Kind: kind}
	if len(l.ring) < cacheLogSize {
		l.ring = append(l.ring, ev)
		return
	}
	l.ring[(l.lastSeq-1)%cacheLogSize] = ev
}

// after appends the events after seq that are published at now.
func (l *cacheLog) after(now time.Duration, seq uint64, out []CacheEvent) []CacheEvent {
	first := l.lastSeq - uint64(len(l.ring)) + 1
	for n := max(seq+1, first); n <= l.lastSeq; n++ {
		ev := l.ring[(n-1)%cacheLogSize]
		if ev.At+l.delay > now {
			break
		}
		if !l.isGap(n) {
			out = append(out, ev)
		}
	}
	return out
}

// isGap reports whether the event with a sequence number is never published.
func (l *cacheLog) isGap(seq uint64) bool { return Draw(l.seed, seq)%perMille < l.gapsPerMille }
