package memory_test

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/hickorybank/hickorybank/internal/platform"
	"github.com/hickorybank/hickorybank/internal/standin/platform/fault"
	"github.com/hickorybank/hickorybank/internal/standin/platform/memory"
)

// The platform without options works with the real clock, so also in the
// virtual time of a synctest bubble.
func TestRunsOnTheClockOfABubble(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p := memory.New()
		is.NoErr(p.SetFaults(fault.Change{Table: &fault.Fault{DelayMS: 60_000}}))
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		_, err := p.Commit(ctx, put("a", "late"))
		is.True(errors.Is(err, platform.ErrUnknown))
		is.True(errors.Is(err, context.DeadlineExceeded))
		is.Equal(p.Stats().LateWrites, 1)

		row, err := p.Get(t.Context(), "a")
		is.NoErr(err)
		is.Equal(string(row.Value), "late")
	})
}

// A caller whose context is already done must hear "refused": it has a right
// to try again elsewhere without asking what became of the write.
func TestDoneContextHasNoEffect(t *testing.T) {
	is := is.New(t)
	p := memory.New()
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	_, err := p.Commit(ctx, put("a", "x"))
	is.True(errors.Is(err, platform.ErrRefused))
	_, err = p.Get(ctx, "a")
	is.True(errors.Is(err, platform.ErrRefused))
	is.Equal(p.Stats().Rows, 0)
}

// A writer that reuses its buffer after it gave up must not change the write
// that takes effect later, nor a reader the row that it was given.
func TestBuffersAreNotShared(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1_000_000, 0)
	giveUp := func(context.Context, time.Duration) error { return context.DeadlineExceeded }
	p := memory.New(memory.WithClock(func() time.Time { return now }, giveUp))
	is.NoErr(p.SetFaults(fault.Change{Table: &fault.Fault{DelayMS: 1000}}))
	txn := put("a", "old")
	_, err := p.Commit(t.Context(), txn)
	is.True(errors.Is(err, platform.ErrUnknown))
	copy(txn.Writes[0].Value, "new")
	now = now.Add(time.Second)
	is.NoErr(p.SetFaults(fault.Change{Table: &fault.Fault{}}))
	row, err := p.Get(t.Context(), "a")
	is.NoErr(err)
	is.Equal(string(row.Value), "old")
	copy(row.Value, "new")
	row, err = p.Get(t.Context(), "a")
	is.NoErr(err)
	is.Equal(string(row.Value), "old")
}

// The same seed must give the same faults, or a failed run cannot be repeated.
func TestFaultsFollowTheSeed(t *testing.T) {
	is := is.New(t)
	first, again, other := fates(t, 1), fates(t, 1), fates(t, 2)
	is.Equal(first, again)
	is.True(first != other)
}

func fates(t *testing.T, seed uint64) string {
	p := memory.New(memory.WithSeed(seed))
	faults := fault.Fault{RefuseFraction: 0.3, DropFraction: 0.3, LoseAckFraction: 0.3}
	if err := p.SetFaults(fault.Change{Table: &faults}); err != nil {
		t.Fatal(err)
	}
	var out []byte
	for range 200 {
		_, err := p.Commit(t.Context(), put("a", "x"))
		switch {
		case err == nil:
			out = append(out, 'a')
		case errors.Is(err, platform.ErrRefused):
			out = append(out, 'r')
		default:
			out = append(out, 'u')
		}
	}
	return string(out)
}

func put(key, value string) platform.Txn {
	return platform.Txn{Writes: []platform.Write{{Key: key, Value: []byte(value)}}}
}
