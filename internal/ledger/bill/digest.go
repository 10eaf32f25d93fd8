package bill

import (
	"encoding/binary"

	"github.com/hickorybank/hickorybank/internal/request"
)

// DigestOf returns the digest of a request's body; it is never 0. Two bodies with the
// same key and digest are billed once. With 64 bits, a caller must hash about 2^32
// bodies to find such a pair.
func DigestOf(f request.Fingerprint) uint64 {
	return max(1, binary.BigEndian.Uint64(f[:]))
}
