package bill

import (
	"encoding/binary"

	"github.com/hickorybank/hickorybank/internal/request"
)

// DigestOf returns the digest of a request's body; it is never 0. With 64 bits, a
// caller who looks for two bodies that share one, to have the second for nothing,
// has to hash some 2^32 of them for each.
func DigestOf(f request.Fingerprint) uint64 {
	return max(1, binary.BigEndian.Uint64(f[:]))
}
