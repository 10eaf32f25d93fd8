package streamtoken

import (
	"errors"
	"time"

	"github.com/hickorybank/hickorybank/internal/seal"
)

const (
	domain = "hickorybank stream 1"
	// MaxAge is how long a token is taken; engines forget a stream sooner.
	MaxAge  = time.Hour
	maxSkew = 5 * time.Minute
)

// Why a token is refused, besides the reasons of package seal.
var (
	ErrForeign = errors.New("another organisation's")
	ErrTooOld  = errors.New("too old")
)

// Token finds a stream and bills it.
type Token struct {
	Org string `json:"o"`
	Key string `json:"k"`
	// Digest is that of the bill; see package ledger/bill.
	Digest  uint64 `json:"d,omitempty"`
	Class   string `json:"c"`
	Version string `json:"v"`
	Attempt string `json:"a"`
	// VM is the engine's name. Its address is not in the token, since callers
	// can read it.
	VM      string `json:"m"`
	Session string `json:"s,omitempty"`
	// Started is in whole seconds since 1970 (UTC).
	Started int64 `json:"t"`
	// SpentCost (micro-units of currency) and the tokens are those of earlier
	// runs of a cascade, which the same bill covers.
	SpentCost   int64 `json:"x,omitempty"`
	SpentInput  int64 `json:"i,omitempty"`
	SpentOutput int64 `json:"u,omitempty"`
}

// Seal returns the token in the form that callers carry.
func Seal(s *seal.Sealer, t Token) (string, error) { return s.Seal(domain, t) }

// Open verifies a token of an organisation at a time.
func Open(s *seal.Sealer, text, org string, now time.Time) (Token, error) {
	var t Token
	if err := s.Open(domain, text, &t); err != nil {
		return Token{}, err
	}
	if t.Org != org {
		return Token{}, ErrForeign
	}
	if age := now.Sub(time.Unix(t.Started, 0)); age > MaxAge || age < -maxSkew {
		return Token{}, ErrTooOld
	}
	return t, nil
}
