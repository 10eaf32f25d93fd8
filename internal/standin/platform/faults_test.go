package platform_test

import (
	"context"
	"errors"
	"testing"

	"github.com/matryer/is"
	"github.com/sourcegraph/conc"

	"github.com/hickorybank/hickorybank/internal/platform"
	"github.com/hickorybank/hickorybank/internal/platform/client"
	"github.com/hickorybank/hickorybank/internal/platform/client/wire"
	standin "github.com/hickorybank/hickorybank/internal/standin/platform"
	"github.com/hickorybank/hickorybank/internal/standin/platform/fault"
	"github.com/hickorybank/hickorybank/internal/standin/platform/memory"
)

// A write takes effect and the connection breaks before the answer. The writer must
// get [platform.ErrUnknown] and find its write when it reads the row.
func TestLostAck(t *testing.T) {
	is := is.New(t)
	c, ctl := startWithFaults(t, standin.Settings{})
	ctx := t.Context()
	_, err := ctl.SetFaults(ctx, fault.Change{
		Table:   &fault.Fault{LoseAcks: 1},
		Objects: &fault.Fault{LoseAcks: 1},
	})
	is.NoErr(err)

	_, err = c.Commit(ctx, put("a", "x"))
	is.True(errors.Is(err, platform.ErrUnknown))
	row, err := c.Get(ctx, "a")
	is.NoErr(err)
	is.Equal(row.Version, uint64(1))
	err = c.Objects().Put(ctx, "o", []byte("x"))
	is.True(errors.Is(err, platform.ErrUnknown))
	_, ok, err := c.Objects().Get(ctx, "o")
	is.NoErr(err)
	is.True(ok)

	set, err := ctl.Faults(ctx)
	is.NoErr(err)
	is.Equal(set, fault.Set{})
	stats, err := ctl.Stats(ctx)
	is.NoErr(err)
	is.Equal(stats.LostAcks, uint64(2))
	is.Equal(stats.Writes, uint64(2))
}

func TestOutage(t *testing.T) {
	is := is.New(t)
	c, ctl := startWithFaults(t, standin.Settings{})
	ctx := t.Context()
	down := &fault.Fault{Down: true}
	_, err := ctl.SetFaults(ctx, fault.Change{Table: down, Objects: down, VMs: down, Rating: down, Weights: down})
	is.NoErr(err)
	refused := func(err error) {
		t.Helper()
		var refusal *client.Refusal
		is.True(errors.As(err, &refusal))
		is.Equal(refusal.Reason, wire.Unavailable)
		is.True(errors.Is(err, platform.ErrRefused))
		is.True(!errors.Is(err, platform.ErrUnknown))
	}
	_, err = c.Commit(ctx, put("a", "x"))
	refused(err)
	_, err = c.Scan(ctx, "", "", 1)
	refused(err)
	refused(c.Objects().Put(ctx, "o", nil))
	_, _, err = c.Objects().Get(ctx, "o")
	refused(err)
	_, err = c.Objects().List(ctx, "")
	refused(err)
	_, err = c.VMs().List(ctx)
	refused(err)
	_, err = c.Rate(ctx, platform.RateRequest{Version: "v"})
	refused(err)
	_, err = c.FetchWeights(ctx, "v")
	refused(err)
	dump, err := ctl.Dump(ctx, "")
	is.NoErr(err)
	is.Equal(len(dump.Rows)+len(dump.Objects), 0)
}

// The network loses one direction: writes arrive and take effect, but no answer comes
// back. The writer gives up and must get [platform.ErrUnknown].
func TestOneWayFaultLosesAnswers(t *testing.T) {
	is := is.New(t)
	c, ctl := startWithFaults(t, standin.Settings{})
	_, err := ctl.SetFaults(t.Context(), fault.Change{Table: &fault.Fault{OneWay: true}})
	is.NoErr(err)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	var watcher conc.WaitGroup
	defer watcher.Wait()
	watcher.Go(func() {
		defer cancel()
		waitUntil(t, func() bool {
			stats, err := ctl.Stats(t.Context())
			return err != nil || stats.Rows == 1
		})
	})
	_, err = c.Commit(ctx, put("a", "x"))
	is.True(errors.Is(err, platform.ErrUnknown))
	dump, err := ctl.Dump(t.Context(), "a")
	is.NoErr(err)
	is.Equal(string(dump.Rows[0].Value), "x")
}

func TestRateLimit(t *testing.T) {
	is := is.New(t)
	c, ctl := startWithFaults(t, standin.Settings{Settings: memory.Settings{WritesPerSecond: 0.001}})
	ctx := t.Context()
	_, err := c.Commit(ctx, put("a", "x"))
	is.NoErr(err)
	_, err = c.Commit(ctx, put("a", "y"))
	var refusal *client.Refusal
	is.True(errors.As(err, &refusal))
	is.Equal(refusal.Reason, wire.RateLimited)
	is.True(refusal.RetryAfter() > 0)
	row, err := c.Get(ctx, "a")
	is.NoErr(err)
	is.Equal(string(row.Value), "x")

	unlimited := 0.0
	_, err = ctl.SetLimits(ctx, memory.LimitsChange{WritesPerSecond: &unlimited})
	is.NoErr(err)
	_, err = c.Commit(ctx, put("a", "y"))
	is.NoErr(err)
}

// The weight store fails during a download. The client must return an error and not
// report the partial download as complete.
func TestWeightDownloadInterrupted(t *testing.T) {
	is := is.New(t)
	c, ctl := startWithFaults(t, standin.Settings{Settings: memory.Settings{WeightBytes: 1 << 20}})
	ctx := t.Context()
	n, err := c.FetchWeights(ctx, "family/v1")
	is.NoErr(err)
	is.Equal(n, int64(1<<20))

	slow := int64(1024)
	_, err = ctl.SetLimits(ctx, memory.LimitsChange{WeightBytesPerSecond: &slow})
	is.NoErr(err)
	var watcher conc.WaitGroup
	defer watcher.Wait()
	watcher.Go(func() {
		waitUntil(t, func() bool {
			stats, err := ctl.Stats(ctx)
			return err != nil || stats.WeightBytes > 1<<20
		})
		_, _ = ctl.SetFaults(ctx, fault.Change{Weights: &fault.Fault{Down: true}})
	})
	n, err = c.FetchWeights(ctx, "family/v1")
	is.True(errors.Is(err, platform.ErrRefused))
	is.True(n < 1<<20)
}
