package key

import (
	"time"

	"github.com/google/uuid"
)

// textLen is the length of a UUID in its usual form. Others that libraries
// accept (braces, a urn) count as opaque.
const textLen = 36

// timed is the UUID version that carries a time.
const timed = 7

// Time returns the time that a UUIDv7 carries; ok is false for other keys.
func Time(key string) (at time.Time, ok bool) {
	if len(key) != textLen {
		return time.Time{}, false
	}
	u, err := uuid.Parse(key)
	if err != nil || u.Version() != timed || u.Variant() != uuid.RFC4122 {
		return time.Time{}, false
	}
	var ms int64
	for _, b := range u[:6] {
		ms = ms<<8 | int64(b)
	}
	return time.UnixMilli(ms).UTC(), true
}
