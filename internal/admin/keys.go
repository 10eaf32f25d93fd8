package admin

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"fmt"
	"net/http"
	"strings"

	"github.com/rotisserie/eris"
)

const defaultOperator = "operator"

// Keys are the operators' bearer keys. Only the SHA-256 sums of the keys are held.
type Keys struct {
	entries []keyEntry
}

type keyEntry struct {
	operator string
	hash     [sha256.Size]byte
}

// ParseKeys reads entries of the form HASH or NAME=HASH, where HASH is the
// SHA-256 sum of a key in hexadecimal and NAME is the operator's name in logs. The error gives the
// number of the invalid entry.
func ParseKeys(entries []string) (Keys, error) {
	var k Keys
	for i, entry := range entries {
		parsed, err := parseKey(entry)
		if err != nil {
			return Keys{}, eris.Wrapf(err, "entry %d", i+1)
		}
		if parsed.operator == "" {
			parsed.operator = defaultOperator
		}
		k.entries = append(k.entries, parsed)
	}
	return k, nil
}

func parseKey(entry string) (keyEntry, error) {
	var e keyEntry
	name, hash, named := strings.Cut(entry, "=")
	if !named {
		name, hash = "", entry
	}
	raw, err := hex.DecodeString(hash)
	if err != nil || len(raw) != sha256.Size {
		// The text may be the key itself, given by mistake, so the error does not repeat it.
		return e, fmt.Errorf("is not [NAME=]HASH with a SHA-256 sum of %d hexadecimal digits", 2*sha256.Size)
	}
	e.operator = name
	copy(e.hash[:], raw)
	return e, nil
}

// Operator returns the name of the operator that the key belongs to; ok is false for an unknown
// key. It compares all entries in constant time, so that timing reveals nothing about the hashes.
func (k Keys) Operator(key string) (operator string, ok bool) {
	sum := sha256.Sum256([]byte(key))
	for _, e := range k.entries {
		if subtle.ConstantTimeCompare(sum[:], e.hash[:]) == 1 {
			operator, ok = e.operator, true
		}
	}
	return operator, ok
}

func (k Keys) bearer(r *http.Request) (operator string, ok bool) {
	key, isBearer := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !isBearer || key == "" {
		return "", false
	}
	return k.Operator(key)
}
