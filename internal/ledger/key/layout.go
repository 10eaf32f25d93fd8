package key

import (
	"time"
)

// Layout is how keys are spread. It must be alike on all nodes, and may not be
// changed while claims are kept.
type Layout struct {
	// Shards is how many claim logs are written at one time.
	Shards int
	// OpaqueShards is how many logs the keys without a time are spread over.
	// A log is read whole before the first claim in it, so they are many.
	OpaqueShards int
	// ClaimBucket is the span of key times in one claim log.
	ClaimBucket time.Duration
	// BillBucket is the span of key times of bills that are settled together.
	BillBucket time.Duration
}

// opaqueBillBucket is the span of bills whose keys carry no time. Duplicates
// of such a key are looked for in the bucket before, too, so it must not be
// shorter than the window.
const opaqueBillBucket = 24 * time.Hour

// Claim returns the log of a key.
func (l Layout) Claim(org, key string) Log {
	id := NewID(org, key)
	at, ok := Time(key)
	if !ok {
		return Log{Kind: Opaque, Shard: shard(id, l.OpaqueShards)}
	}
	return Log{Kind: Timed, Shard: shard(id, l.Shards), Bucket: bucket(at, l.ClaimBucket)}
}

// Bill returns the bucket of a bill, which is a function of the key where it
// carries a time, and else of when the request completed.
func (l Layout) Bill(key string, completed time.Time) Bucket {
	if at, ok := Time(key); ok {
		return Bucket{Kind: Timed, Number: bucket(at, l.BillBucket)}
	}
	return Bucket{Kind: Opaque, Number: bucket(completed, opaqueBillBucket)}
}

// Span returns the times that a bill bucket covers, to excluded.
func (l Layout) Span(b Bucket) (from, to time.Time) {
	length := l.BillBucket
	if b.Kind == Opaque {
		length = opaqueBillBucket
	}
	ms := length.Milliseconds()
	return time.UnixMilli(b.Number * ms).UTC(), time.UnixMilli((b.Number + 1) * ms).UTC()
}

// Buckets returns the bill buckets of a kind that overlap a span of time.
func (l Layout) Buckets(kind Kind, from, to time.Time) []Bucket {
	length := l.BillBucket
	if kind == Opaque {
		length = opaqueBillBucket
	}
	var all []Bucket
	last := bucket(to.Add(-time.Millisecond), length)
	for n := bucket(from, length); n <= last; n++ {
		all = append(all, Bucket{Kind: kind, Number: n})
	}
	return all
}

func shard(id ID, shards int) int { return int(id.hash() % uint64(shards)) }

func bucket(at time.Time, length time.Duration) int64 { return at.UnixMilli() / length.Milliseconds() }
