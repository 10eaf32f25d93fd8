package seal

import (
	"bytes"
	"crypto/hmac"
	"crypto/sha256"
	"encoding/base64"
	"encoding/json"
	"errors"
	"io"
	"strings"

	"github.com/rotisserie/eris"
)

const (
	// MinKeyBytes is the least length of a signing key.
	MinKeyBytes = 32
	// MaxBytes bounds what is read from a caller.
	MaxBytes = 2048
)

// Why a sealed value is refused.
var (
	ErrMalformed = errors.New("malformed")
	ErrForged    = errors.New("not signed here")
)

// Sealer signs and reads values. The first key signs; all keys verify, so that
// a key can be replaced node by node.
type Sealer struct {
	keys [][]byte
}

// New returns a sealer. Each key must have at least MinKeyBytes.
func New(keys ...[]byte) (*Sealer, error) {
	if len(keys) == 0 {
		return nil, eris.New("a session key is needed")
	}
	for _, key := range keys {
		if len(key) < MinKeyBytes {
			return nil, eris.Errorf("a session key needs at least %d bytes", MinKeyBytes)
		}
	}
	return &Sealer{keys: keys}, nil
}

// Seal returns the value in the form that callers carry. The domain keeps
// values of one use from being taken for another's.
func (s *Sealer) Seal(domain string, value any) (string, error) {
	payload, err := json.Marshal(value)
	if err != nil {
		return "", eris.Wrap(err, "encode sealed value")
	}
	return encode(payload) + "." + encode(sum(s.keys[0], domain, payload)), nil
}

// Open verifies a sealed value and decodes it strictly. The error is
// ErrMalformed or ErrForged.
func (s *Sealer) Open(domain, text string, value any) error {
	payload, given, err := split(text)
	if err != nil {
		return err
	}
	if !s.signed(domain, payload, given) {
		return ErrForged
	}
	return decode(payload, value)
}

func (s *Sealer) signed(domain string, payload, given []byte) bool {
	for _, key := range s.keys {
		if hmac.Equal(given, sum(key, domain, payload)) {
			return true
		}
	}
	return false
}

func split(text string) (payload, given []byte, err error) {
	if len(text) > MaxBytes {
		return nil, nil, ErrMalformed
	}
	left, right, found := strings.Cut(text, ".")
	if !found {
		return nil, nil, ErrMalformed
	}
	if payload, err = base64.RawURLEncoding.Strict().DecodeString(left); err != nil {
		return nil, nil, ErrMalformed
	}
	if given, err = base64.RawURLEncoding.Strict().DecodeString(right); err != nil {
		return nil, nil, ErrMalformed
	}
	return payload, given, nil
}

func sum(key []byte, domain string, payload []byte) []byte {
	mac := hmac.New(sha256.New, key)
	mac.Write([]byte(domain))
	mac.Write([]byte{0})
	mac.Write(payload)
	return mac.Sum(nil)
}

func encode(b []byte) string { return base64.RawURLEncoding.EncodeToString(b) }

func decode(data []byte, v any) error {
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	if decoder.Decode(v) != nil {
		return ErrMalformed
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return ErrMalformed
	}
	return nil
}
