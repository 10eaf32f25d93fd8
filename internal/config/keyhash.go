package config

import (
	"crypto/sha256"
	"encoding/hex"
)

// KeyHashBytes is the length of a key's SHA-256 sum, in bytes before hexadecimal encoding.
const KeyHashBytes = sha256.Size

// HashKey returns the hexadecimal SHA-256 sum of a bearer key. Documents hold keys only in this form.
func HashKey(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}
