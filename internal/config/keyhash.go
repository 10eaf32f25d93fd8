package config

import (
	"crypto/sha256"
	"encoding/hex"
)

// KeyHashBytes is the length of a key's hash.
const KeyHashBytes = sha256.Size

// HashKey returns the hexadecimal SHA-256 sum of a bearer key, the form in
// which keys stand in a document.
func HashKey(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}
