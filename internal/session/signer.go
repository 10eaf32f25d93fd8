package session

import (
	"errors"
	"time"

	"github.com/hickorybank/hickorybank/internal/seal"
)

const (
	// MaxAge is how long a session may last.
	MaxAge = 30 * 24 * time.Hour
	// maxSkew bounds how far another VM's clock may be ahead.
	maxSkew = 5 * time.Minute

	sealDomain = "hickorybank session 1"
)

// Errors of [Signer.Verify], besides those of package seal.
var (
	ErrForeign = errors.New("another organisation's")
	ErrTooOld  = errors.New("too old")
)

// Signer signs and verifies session tokens.
type Signer struct {
	sealer *seal.Sealer
}

// NewSigner returns a Signer that uses the keys of s.
func NewSigner(s *seal.Sealer) *Signer { return &Signer{sealer: s} }

// Sign signs the token and returns its text form for the caller.
func (s *Signer) Sign(t Token) (string, error) { return s.sealer.Seal(sealDomain, t) }

// Verify verifies a token's signature, organisation and age. It returns [ErrForeign],
// [ErrTooOld] or an error of package seal.
func (s *Signer) Verify(text, org string, now time.Time) (Token, error) {
	var t Token
	if err := s.sealer.Open(sealDomain, text, &t); err != nil {
		return Token{}, err
	}
	if t.Org != org {
		return Token{}, ErrForeign
	}
	if age := t.Age(now); age > MaxAge || age < -maxSkew {
		return Token{}, ErrTooOld
	}
	return t, nil
}
