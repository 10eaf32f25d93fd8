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

// Without options the platform uses the clock of package time, which is virtual in a
// synctest bubble. A delayed write must then take effect in virtual time.
func TestDefaultClockFollowsSynctest(t *testing.T) {
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

// A call whose context is already done must return [platform.ErrRefused], so that its
// caller can retry elsewhere without checking whether the write took effect.
func TestDoneContextIsRefused(t *testing.T) {
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

// A writer that reuses its buffer after giving up must not change the delayed write. A
// reader that changes a returned row must not change the stored row.
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

// The same seed must give the same faults. Otherwise a failed run cannot be repeated.
func TestFaultsFollowTheSeed(t *testing.T) {
	is := is.New(t)
	first, again, other := outcomes(t, 1), outcomes(t, 1), outcomes(t, 2)
	is.Equal(first, again)
	is.True(first != other)
}

// outcomes returns one letter per commit under random faults: a for applied, r for
// refused, u for unknown.
func outcomes(t *testing.T, seed uint64) string {
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
