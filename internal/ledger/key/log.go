package key

import "fmt"

// Kind tells keys that carry their time from those that do not.
type Kind byte

// The kinds.
const (
	Timed  Kind = 't'
	Opaque Kind = 'o'
)

// Log names one append-only log of claims.
type Log struct {
	Kind  Kind
	Shard int
	// Bucket counts spans of key time since 1970; 0 for opaque keys, whose
	// logs have no end.
	Bucket int64
}

// Prefix is the beginning of the keys of the log's rows. The prefixes of a
// shard sort by bucket.
func (l Log) Prefix() string {
	return fmt.Sprintf("%s%012d/", l.ShardPrefix(), l.Bucket)
}

// ShardPrefix is the beginning of the keys of all rows of the shard.
func (l Log) ShardPrefix() string { return fmt.Sprintf("claims/%c/%06d/", l.Kind, l.Shard) }

// Row is the key of the row with a number.
func (l Log) Row(seq uint64) string { return fmt.Sprintf("%s%012d", l.Prefix(), seq) }

// Floor is the key of the row that says which rows of the shard were deleted.
func (l Log) Floor() string { return fmt.Sprintf("claim-floors/%c/%06d", l.Kind, l.Shard) }
