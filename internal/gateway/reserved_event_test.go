package gateway

import (
	"bytes"
	"errors"
	"testing"

	"github.com/matryer/is"

	"github.com/hickorybank/hickorybank/internal/intake"
)

// Fails if an event without end takes memory that is not reserved.
func TestEventsAreReserved(t *testing.T) {
	is := is.New(t)
	account := intake.NewAccount(40_000)
	s := newEventReader(bytes.NewReader(bytes.Repeat([]byte("e"), 200_000)), "")
	s.reserve = account.Hold().Reserve
	is.True(errors.Is(s.await().err, intake.ErrNoMemory))
	is.True(len(s.pending) <= intake.UnreservedBytes+40_000+readBufferBytes)
}
