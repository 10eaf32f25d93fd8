package streamtoken

import (
	"errors"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/hickorybank/hickorybank/internal/seal"
)

// A caller reads another organisation's stream with a stolen, guessed or reused token. Open
// must refuse each of these.
func TestOpenRefusesForeignExpiredAndForgedTokens(t *testing.T) {
	start := time.Unix(1_800_000_000, 0)
	sealer, err := seal.New([]byte(strings.Repeat("k", seal.MinKeyBytes)))
	is.New(t).NoErr(err)
	own, err := Seal(sealer, Token{Org: "sfax", Started: start.Unix()})
	is.New(t).NoErr(err)
	session, err := sealer.Seal("hickorybank session 1", Token{Org: "sfax", Started: start.Unix()})
	is.New(t).NoErr(err)
	cases := []struct {
		name, text, org string
		at              time.Time
		want            error
	}{
		{"own", own, "sfax", start, nil},
		{"another organisation's", own, "tunis", start, ErrForeign},
		{"too old", own, "sfax", start.Add(MaxAge + time.Second), ErrTooOld},
		{"sealed for another use", session, "sfax", start, seal.ErrForged},
		{"no token", "x", "sfax", start, seal.ErrMalformed},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			_, err := Open(sealer, c.text, c.org, c.at)
			is.True(errors.Is(err, c.want))
		})
	}
}
