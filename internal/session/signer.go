package session

import (
	"errors"
	"time"

	"github.com/hickorybank/hickorybank/internal/seal"
)

const (
	// MaxAge is how long a session may last.
	MaxAge = 30 * 24 * time.Hour
	// maxSkew is how far ahead another VM's clock may be.
	maxSkew = 5 * time.Minute

	domain = "hickorybank session 1"
)

// Why a token is refused, besides the reasons of package seal.
var (
	ErrForeign = errors.New("another organisation's")
	ErrTooOld  = errors.New("too old")
)

// Signer makes and reads tokens.
type Signer struct {
	sealer *seal.Sealer
}

// NewSigner returns a signer.
func NewSigner(s *seal.Sealer) *Signer { return &Signer{sealer: s} }

// Sign returns the token in the form that callers carry.
func (s *Signer) Sign(t Token) (string, error) { return s.sealer.Seal(domain, t) }

// Read verifies a token of an organisation at a time.
func (s *Signer) Read(text, org string, now time.Time) (Token, error) {
	var t Token
	if err := s.sealer.Open(domain, text, &t); err != nil {
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
