package key

import "fmt"

// Kind distinguishes keys that carry a time (UUIDv7) from those that do not. Its
// value is part of row keys.
type Kind byte

// The kinds of keys.
const (
	Timed  Kind = 't'
	Opaque Kind = 'o'
)

// Log identifies one append-only log of claims.
type Log struct {
	Kind  Kind
	Shard int
	// Bucket counts spans of key time since 1970. It is 0 for opaque keys, whose
	// logs are never closed.
	Bucket int64
}

// Prefix returns the key prefix of the log's rows. The prefixes of a shard sort by
// bucket.
func (l Log) Prefix() string {
	return fmt.Sprintf("%s%012d/", l.ShardPrefix(), l.Bucket)
}

// ShardPrefix returns the key prefix of all rows of the shard, over all buckets.
func (l Log) ShardPrefix() string { return fmt.Sprintf("claims/%c/%06d/", l.Kind, l.Shard) }

// Row returns the key of the row with the given sequence number.
func (l Log) Row(seq uint64) string { return fmt.Sprintf("%s%012d", l.Prefix(), seq) }

// Floor returns the key of the row that records up to where the shard's rows were
// deleted.
func (l Log) Floor() string { return fmt.Sprintf("claim-floors/%c/%06d", l.Kind, l.Shard) }
