package request

import "crypto/sha256"

// Fingerprint identifies an organisation's body, so that a request sent again
// with a new key is known to be the same work.
type Fingerprint [16]byte

// NewFingerprint hashes the organisation's name and the body.
func NewFingerprint(org string, body []byte) Fingerprint {
	h := sha256.New()
	h.Write([]byte(org))
	h.Write([]byte{0})
	h.Write(body)
	var f Fingerprint
	copy(f[:], h.Sum(nil))
	return f
}
