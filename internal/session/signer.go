package session

import (
	"bytes"
	"crypto/hmac"
	"crypto/sha256"
	"encoding/base64"
	"encoding/json"
	"errors"
	"io"
	"strings"
	"time"

	"github.com/rotisserie/eris"
)

const (
	// MinKeyBytes is the least length of a signing key.
	MinKeyBytes = 32
	// MaxTokenBytes bounds what is read from a caller.
	MaxTokenBytes = 1024
	// MaxAge is how long a session may last.
	MaxAge = 30 * 24 * time.Hour
	// maxSkew is how far ahead another VM's clock may be.
	maxSkew = 5 * time.Minute

	domain = "hickorybank session 1\x00"
)

// Why a token is refused.
var (
	ErrMalformed = errors.New("the session token is malformed")
	ErrForged    = errors.New("the session token was not signed here")
	ErrForeign   = errors.New("the session token is another organisation's")
	ErrTooOld    = errors.New("the session token is too old")
)

// Signer makes and reads tokens. The first key signs; all keys verify, so that
// a key can be replaced node by node.
type Signer struct {
	keys [][]byte
}

// NewSigner returns a signer. Each key must have at least MinKeyBytes.
func NewSigner(keys ...[]byte) (*Signer, error) {
	if len(keys) == 0 {
		return nil, eris.New("a session key is needed")
	}
	for _, key := range keys {
		if len(key) < MinKeyBytes {
			return nil, eris.Errorf("a session key needs at least %d bytes", MinKeyBytes)
		}
	}
	return &Signer{keys: keys}, nil
}

// Sign returns the token in the form that callers carry.
func (s *Signer) Sign(t Token) (string, error) {
	payload, err := json.Marshal(t)
	if err != nil {
		return "", eris.Wrap(err, "encode session token")
	}
	sum := sum(s.keys[0], payload)
	return encode(payload) + "." + encode(sum), nil
}

// Read verifies a token of an organisation at a time.
func (s *Signer) Read(text, org string, now time.Time) (Token, error) {
	payload, err := s.verify(text)
	if err != nil {
		return Token{}, err
	}
	var t Token
	if err := decodeStrict(payload, &t); err != nil {
		return Token{}, ErrMalformed
	}
	if t.Org != org {
		return Token{}, ErrForeign
	}
	if age := t.Age(now); age > MaxAge || age < -maxSkew {
		return Token{}, ErrTooOld
	}
	return t, nil
}

func (s *Signer) verify(text string) ([]byte, error) {
	if len(text) > MaxTokenBytes {
		return nil, ErrMalformed
	}
	left, right, found := strings.Cut(text, ".")
	if !found {
		return nil, ErrMalformed
	}
	payload, err := base64.RawURLEncoding.Strict().DecodeString(left)
	if err != nil {
		return nil, ErrMalformed
	}
	given, err := base64.RawURLEncoding.Strict().DecodeString(right)
	if err != nil {
		return nil, ErrMalformed
	}
	for _, key := range s.keys {
		if hmac.Equal(given, sum(key, payload)) {
			return payload, nil
		}
	}
	return nil, ErrForged
}

func sum(key, payload []byte) []byte {
	mac := hmac.New(sha256.New, key)
	mac.Write([]byte(domain))
	mac.Write(payload)
	return mac.Sum(nil)
}

func encode(b []byte) string { return base64.RawURLEncoding.EncodeToString(b) }

func decodeStrict(data []byte, v any) error {
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(v); err != nil {
		return err
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return ErrMalformed
	}
	return nil
}
