package intake

import (
	"errors"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/matryer/is"
)

// Fails if bytes are read before their memory is reserved, are lost where there is none, or stay
// reserved after their request.
func TestBodiesAreReservedBeforeTheyAreRead(t *testing.T) {
	for _, c := range []struct {
		name           string
		bytes, length  int64
		left, reserved int64
		whole          bool
	}{
		{"small", 9_000, 9_000, 0, 0, true},
		{"empty", 0, 0, 0, 0, true},
		{"with length", 100_000, 100_000, 100_000, 100_000, true},
		{"with length, no memory", 100_000, 100_000, 99_999, 0, false},
		{"without length", 40_000, -1, 1 << 20, 49_156, true},
		{"without length, no memory", 100_000, -1, 40_000, 16_385, false},
		{"longer than stated", 30_000, 20_000, 1 << 20, 40_001, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			account := NewAccount(max(c.left, 1))
			held := account.Hold()
			in := strings.Repeat("b", int(c.bytes))
			out, err := ReadWhole(iotest.HalfReader(strings.NewReader(in)), c.length, held.Reserve)
			is.Equal(errors.Is(err, ErrNoMemory), !c.whole)
			if c.whole {
				is.Equal(string(out), in)
			}
			is.True(strings.HasPrefix(in, string(out)))
			is.Equal(account.Used(), c.reserved)
			held.Release()
			is.Equal(account.Used(), int64(0))
			is.True(!held.Reserve(1)) // the request has ended
		})
	}
}
