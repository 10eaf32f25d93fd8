package key

import (
	"time"
)

// Layout defines how keys are distributed over logs and buckets. It must be the same
// on all nodes, and must not change while claims are retained.
type Layout struct {
	// Shards is the number of claim logs per bucket of timed keys.
	Shards int
	// OpaqueShards is the number of claim logs for keys without a time. A process
	// reads a whole log before its first claim in it, so many short logs are better
	// than a few long ones.
	OpaqueShards int
	// ClaimBucket is the span of key times in one claim log.
	ClaimBucket time.Duration
	// BillBucket is the span of key times of bills that are summarised together.
	BillBucket time.Duration
}

// opaqueBillBucket is the span of a bucket of bills whose keys carry no time. Readers
// look for duplicates of such a key in this bucket and the previous one only, so the
// span must not be shorter than the retention window of keys.
const opaqueBillBucket = 24 * time.Hour

// Claim returns the claim log of an organisation's key.
func (l Layout) Claim(org, key string) Log {
	id := NewID(org, key)
	at, ok := Time(key)
	if !ok {
		return Log{Kind: Opaque, Shard: shardOf(id, l.OpaqueShards)}
	}
	return Log{Kind: Timed, Shard: shardOf(id, l.Shards), Bucket: bucketAt(at, l.ClaimBucket)}
}

// Bill returns the bucket of a bill: by the time in the key if it carries one, and
// otherwise by the time at which the request completed.
func (l Layout) Bill(key string, completed time.Time) Bucket {
	if at, ok := Time(key); ok {
		return Bucket{Kind: Timed, Number: bucketAt(at, l.BillBucket)}
	}
	return Bucket{Kind: Opaque, Number: bucketAt(completed, opaqueBillBucket)}
}

// Span returns the span of time that a bill bucket covers, from inclusive to
// exclusive.
func (l Layout) Span(b Bucket) (from, to time.Time) {
	length := l.BillBucket
	if b.Kind == Opaque {
		length = opaqueBillBucket
	}
	ms := length.Milliseconds()
	return time.UnixMilli(b.Number * ms).UTC(), time.UnixMilli((b.Number + 1) * ms).UTC()
}

// Buckets returns the bill buckets of a kind that overlap the span of time from
// inclusive to exclusive.
func (l Layout) Buckets(kind Kind, from, to time.Time) []Bucket {
	length := l.BillBucket
	if kind == Opaque {
		length = opaqueBillBucket
	}
	var all []Bucket
	last := bucketAt(to.Add(-time.Millisecond), length)
	for n := bucketAt(from, length); n <= last; n++ {
		all = append(all, Bucket{Kind: kind, Number: n})
	}
	return all
}

// shardOf returns the shard of an ID, out of a number of shards.
func shardOf(id ID, shards int) int { return int(id.hash() % uint64(shards)) }

// bucketAt returns the number of the bucket that contains a time.
func bucketAt(at time.Time, span time.Duration) int64 { return at.UnixMilli() / span.Milliseconds() }
