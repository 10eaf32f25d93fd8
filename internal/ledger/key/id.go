package key

import (
	"crypto/sha256"
	"encoding/binary"

	"github.com/google/uuid"
)

// Size is the length of an [ID] in bytes.
const Size = 16

// ID stands for a key of an organisation, or for an attempt. Two different
// keys share one with probability 2^-128; the second would then be refused as
// reused, never run twice.
type ID [Size]byte

// NewID returns the ID of an organisation's key.
func NewID(org, key string) ID {
	h := sha256.New()
	h.Write([]byte(org))
	h.Write([]byte{0})
	h.Write([]byte(key))
	var sum [sha256.Size]byte
	return ID(h.Sum(sum[:0])[:Size])
}

// AttemptID returns the ID of an attempt, which should be a UUID; anything
// else is hashed.
func AttemptID(attempt string) ID {
	if u, err := uuid.Parse(attempt); err == nil && len(attempt) == textLen {
		return ID(u)
	}
	return NewID("", attempt)
}

// Attempt returns the text of an attempt's ID: the attempt itself when that
// was a UUID in lower case.
func (id ID) Attempt() string { return uuid.UUID(id).String() }

// hash spreads IDs over shards. A UUIDv7 attempt is never sharded, so every ID
// that comes here is the output of a hash.
func (id ID) hash() uint64 { return binary.BigEndian.Uint64(id[:]) }
