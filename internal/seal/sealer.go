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
	// MinKeyBytes is the minimum length of a signing key, in bytes.
	MinKeyBytes = 32
	// MaxBytes is the maximum length of a token that Open accepts, in bytes.
	MaxBytes = 2048
)

// Errors of [Sealer.Open].
var (
	// ErrMalformed means that the token is too long, not of the form of a token, or
	// that its payload does not decode into the value.
	ErrMalformed = errors.New("malformed")
	// ErrForged means that none of the keys verifies the signature for the domain.
	ErrForged = errors.New("not signed here")
)

// Sealer signs values and verifies tokens. The first key signs; all keys verify, so
// that a key can be replaced one node at a time.
type Sealer struct {
	keys [][]byte
}

// New returns a Sealer with at least one key. It returns an error if there is none or
// if a key is shorter than MinKeyBytes.
func New(keys ...[]byte) (*Sealer, error) {
	if len(keys) == 0 {
		return nil, eris.New("a session key is needed")
	}
	for _, key := range keys {
		if len(key) < MinKeyBytes {
			return nil, eris.Errorf("session key has %d bytes, needs at least %d", len(key), MinKeyBytes)
		}
	}
	return &Sealer{keys: keys}, nil
}

// Seal encodes the value as JSON and returns it as a signed token. The domain is part
// of the signature, so that a token for one use is not accepted for another.
func (s *Sealer) Seal(domain string, value any) (string, error) {
	payload, err := json.Marshal(value)
	if err != nil {
		return "", eris.Wrap(err, "encode sealed value")
	}
	return encode(payload) + "." + encode(computeMAC(s.keys[0], domain, payload)), nil
}

// Open verifies a token and decodes its payload into value; unknown fields and trailing
// data are errors. The error is ErrMalformed or ErrForged.
func (s *Sealer) Open(domain, token string, value any) error {
	payload, signature, err := splitToken(token)
	if err != nil {
		return err
	}
	if !s.verifies(domain, payload, signature) {
		return ErrForged
	}
	return decodeStrict(payload, value)
}

// verifies reports whether one of the keys verifies the signature. It compares in
// constant time.
func (s *Sealer) verifies(domain string, payload, signature []byte) bool {
	for _, key := range s.keys {
		if hmac.Equal(signature, computeMAC(key, domain, payload)) {
			return true
		}
	}
	return false
}

// splitToken returns the decoded payload and signature of a token.
func splitToken(token string) (payload, signature []byte, err error) {
	if len(token) > MaxBytes {
		return nil, nil, ErrMalformed
	}
	left, right, found := strings.Cut(token, ".")
	if !found {
		return nil, nil, ErrMalformed
	}
	if payload, err = base64.RawURLEncoding.Strict().DecodeString(left); err != nil {
		return nil, nil, ErrMalformed
	}
	if signature, err = base64.RawURLEncoding.Strict().DecodeString(right); err != nil {
		return nil, nil, ErrMalformed
	}
	return payload, signature, nil
}

// computeMAC returns the HMAC of the domain and the payload. The zero byte separates
// them, so that no two pairs give the same input.
func computeMAC(key []byte, domain string, payload []byte) []byte {
	mac := hmac.New(sha256.New, key)
	mac.Write([]byte(domain))
	mac.Write([]byte{0})
	mac.Write(payload)
	return mac.Sum(nil)
}

func encode(b []byte) string { return base64.RawURLEncoding.EncodeToString(b) }

// decodeStrict decodes one JSON value strictly.
func decodeStrict(data []byte, v any) error {
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
