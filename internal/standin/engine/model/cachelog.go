package model

import "time"

const (
	perMille = 1000
	// cacheLogSize is how many cache events an engine remembers.
	cacheLogSize = 512
)

// CacheEventKind says what happened to a prefix.
type CacheEventKind uint8

// The kinds of cache events.
const (
	// Stored: the prefix was cached or imported.
	Stored CacheEventKind = iota
	// Evicted: the prefix had to go.
	Evicted
)

var cacheEventNames = [...]string{"stored", "evicted"}

// String returns the kind's name.
func (k CacheEventKind) String() string { return cacheEventNames[k] }

// CacheEvent is one change of the prefix cache. A missing Seq is a gap: an
// event that was never published or that is too old.
type CacheEvent struct {
	Seq    uint64
	At     time.Duration
	Prefix uint64
	Kind   CacheEventKind
}

// cacheLog publishes cache events late and with gaps.
type cacheLog struct {
	delay time.Duration
	gaps  uint64
	seed  uint64
	last  uint64
	ring  []CacheEvent
}

func newCacheLog(cfg Config) cacheLog {
	return cacheLog{delay: cfg.CacheEventDelay, gaps: uint64(cfg.CacheEventGaps), seed: cfg.Seed}
}

func (l *cacheLog) add(at time.Duration, kind CacheEventKind, prefix uint64) {
	l.last++
	ev := CacheEvent{Seq: l.last, At: at, Prefix: prefix, Kind: kind}
	if len(l.ring) < cacheLogSize {
		l.ring = append(l.ring, ev)
		return
	}
	l.ring[(l.last-1)%cacheLogSize] = ev
}

// after appends the published events that follow seq.
func (l *cacheLog) after(now time.Duration, seq uint64, out []CacheEvent) []CacheEvent {
	first := l.last - uint64(len(l.ring)) + 1
	for n := max(seq+1, first); n <= l.last; n++ {
		ev := l.ring[(n-1)%cacheLogSize]
		if ev.At+l.delay > now {
			break
		}
		if !l.gap(n) {
			out = append(out, ev)
		}
	}
	return out
}

func (l *cacheLog) gap(seq uint64) bool { return Draw(l.seed, seq)%perMille < l.gaps }
