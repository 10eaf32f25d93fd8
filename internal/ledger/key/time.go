package key

import (
	"time"

	"github.com/google/uuid"
)

// uuidTextLen is the length of a UUID in its canonical form. Other forms that the
// uuid package parses (in braces, as a URN) count as opaque keys.
const uuidTextLen = 36

// uuidV7 is the UUID version that carries a time.
const uuidV7 = 7

// Time returns the time of a UUIDv7 key, in whole milliseconds; ok is false for other
// keys.
func Time(key string) (at time.Time, ok bool) {
	if len(key) != uuidTextLen {
		return time.Time{}, false
	}
	u, err := uuid.Parse(key)
	if err != nil || u.Version() != uuidV7 || u.Variant() != uuid.RFC4122 {
		return time.Time{}, false
	}
	var ms int64
	for _, b := range u[:6] {
		ms = ms<<8 | int64(b)
	}
	return time.UnixMilli(ms).UTC(), true
}
