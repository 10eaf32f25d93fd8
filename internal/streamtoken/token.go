package streamtoken

import (
	"errors"
	"time"

	"github.com/hickorybank/hickorybank/internal/seal"
)

const (
	sealDomain = "hickorybank stream 1"
	// MaxAge is how long a token is valid; engines drop a stream sooner.
	MaxAge  = time.Hour
	maxSkew = 5 * time.Minute
)

// Errors of [Open], besides those of package seal.
var (
	ErrForeign = errors.New("another organisation's")
	ErrTooOld  = errors.New("too old")
)

// Token identifies a running stream and holds what its bill needs.
type Token struct {
	Org string `json:"o"`
	// Key is the idempotency key of the bill.
	Key string `json:"k"`
	// Digest is the bill's digest; see package ledger/bill.
	Digest  uint64 `json:"d,omitempty"`
	Class   string `json:"c"`
	Version string `json:"v"`
	Attempt string `json:"a"`
	// VM is the engine's name. Its address is not in the token, since callers
	// can read it.
	VM      string `json:"m"`
	Session string `json:"s,omitempty"`
	// Started is the time of issue in Unix seconds.
	Started int64 `json:"t"`
	// SpentCost (in micro-units of currency), SpentInput and SpentOutput (in tokens) are the
	// totals of a cascade's earlier runs, which the same bill covers.
	SpentCost   int64 `json:"x,omitempty"`
	SpentInput  int64 `json:"i,omitempty"`
	SpentOutput int64 `json:"u,omitempty"`
}

// Seal signs the token and returns its text form for the caller.
func Seal(s *seal.Sealer, t Token) (string, error) { return s.Seal(sealDomain, t) }

// Open verifies a token's signature, organisation and age. It returns [ErrForeign],
// [ErrTooOld] or an error of package seal.
func Open(s *seal.Sealer, text, org string, now time.Time) (Token, error) {
	var t Token
	if err := s.Open(sealDomain, text, &t); err != nil {
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
