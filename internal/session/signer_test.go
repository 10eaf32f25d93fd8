package session

import (
	"errors"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/hickorybank/hickorybank/internal/seal"
)

var (
	oldKey = []byte(strings.Repeat("a", seal.MinKeyBytes))
	newKey = []byte(strings.Repeat("b", seal.MinKeyBytes))
	start  = time.Unix(1_800_000_000, 0)
)

func newSigner(t *testing.T, keys ...[]byte) *Signer {
	t.Helper()
	s, err := seal.New(keys...)
	is.New(t).NoErr(err)
	return NewSigner(s)
}

func signToken(t *testing.T, s *Signer) (string, Token) {
	t.Helper()
	token := Token{ID: "s1", Org: "sfax", Version: "assess@4", Started: start.Unix()}
	text, err := s.Sign(token)
	is.New(t).NoErr(err)
	return text, token
}

// A session token that is forged, expired or another organisation's is refused.
func TestVerifyRefusesForeignExpiredAndForgedTokens(t *testing.T) {
	s := newSigner(t, oldKey)
	text, _ := signToken(t, s)
	foreign, _ := signToken(t, newSigner(t, newKey))
	cases := []struct {
		name, text, org string
		at              time.Time
		want            error
	}{
		{"own", text, "sfax", start, nil},
		{"another organisation's", text, "tunis", start, ErrForeign},
		{"too old", text, "sfax", start.Add(MaxAge + time.Second), ErrTooOld},
		{"from the future", text, "sfax", start.Add(-time.Hour), ErrTooOld},
		{"signed with a foreign key", foreign, "sfax", start, seal.ErrForged},
		{"payload changed", "A" + text, "sfax", start, seal.ErrMalformed},
		{"no signature", strings.Split(text, ".")[0], "sfax", start, seal.ErrMalformed},
		{"empty", "", "sfax", start, seal.ErrMalformed},
		{"huge", strings.Repeat("x", seal.MaxBytes+1), "sfax", start, seal.ErrMalformed},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			_, err := s.Verify(c.text, c.org, c.at)
			is.True(errors.Is(err, c.want))
		})
	}
}

// A session loses its version during a key rotation: one node signs with the old key, and
// the next request reaches a node that signs with the new key. A node must verify with all
// its keys, not only the one it signs with.
func TestSessionSurvivesKeyRotation(t *testing.T) {
	is := is.New(t)
	text, token := signToken(t, newSigner(t, oldKey))
	got, err := newSigner(t, newKey, oldKey).Verify(text, "sfax", start)
	is.NoErr(err)
	is.Equal(got, token)
}

// A session key that is too short to be secure is refused.
func TestNewSealerRefusesShortKey(t *testing.T) {
	_, err := seal.New([]byte("short"))
	is.New(t).True(err != nil)
}

// FuzzRead checks that no text other than the signed token is accepted.
func FuzzRead(f *testing.F) {
	sealer, err := seal.New(oldKey)
	if err != nil {
		f.Fatal(err)
	}
	s := NewSigner(sealer)
	text, err := s.Sign(Token{ID: "s1", Org: "sfax", Version: "assess@4", Started: start.Unix()})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(text)
	f.Add("e30.e30")
	f.Fuzz(func(t *testing.T, in string) {
		token, err := s.Verify(in, "sfax", start)
		if err == nil && in != text {
			t.Fatalf("accepted a token that was not signed: %q as %+v", in, token)
		}
	})
}
