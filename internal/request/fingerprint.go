package request

import "crypto/sha256"

// Fingerprint identifies a request by organisation and body, so that a request resent under
// a new key is recognised.
type Fingerprint [16]byte

// NewFingerprint returns a truncated SHA-256 hash of the organisation's name and the body.
func NewFingerprint(org string, body []byte) Fingerprint {
	h := sha256.New()
	h.Write([]byte(org))
	h.Write([]byte{0})
	h.Write(body)
	var f Fingerprint
	copy(f[:], h.Sum(nil))
	return f
}
