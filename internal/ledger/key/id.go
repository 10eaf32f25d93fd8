package key

import (
	"crypto/sha256"
	"encoding/binary"

	"github.com/google/uuid"
)

// Size is the length of an [ID] in bytes.
const Size = 16

// ID is a fixed-size hash of an organisation's key, or identifies an attempt. Two
// different keys collide with probability 2^-128. The second one is then refused as
// reused; it never runs as the first.
type ID [Size]byte

// NewID returns the ID of an organisation's key: a truncated SHA-256 hash of both.
func NewID(org, key string) ID {
	h := sha256.New()
	h.Write([]byte(org))
	h.Write([]byte{0})
	h.Write([]byte(key))
	var sum [sha256.Size]byte
	return ID(h.Sum(sum[:0])[:Size])
}

// AttemptID returns the ID of an attempt: the UUID itself, or a hash if the attempt
// is not a UUID.
func AttemptID(attempt string) ID {
	if u, err := uuid.Parse(attempt); err == nil && len(attempt) == uuidTextLen {
		return ID(u)
	}
	return NewID("", attempt)
}

// Attempt returns the ID as UUID text. For an attempt that was a lower-case UUID this
// is the attempt itself.
func (id ID) Attempt() string { return uuid.UUID(id).String() }

// hash returns the bits that select the shard. Only IDs of keys are sharded, never
// UUIDv7 attempts, so the leading bytes are the output of a hash and evenly distributed.
func (id ID) hash() uint64 { return binary.BigEndian.Uint64(id[:]) }
