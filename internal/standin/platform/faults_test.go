package platform_test

import (
	"context"
	"errors"
	"log/slog"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/sourcegraph/conc"

	"github.com/hickorybank/hickorybank/internal/platform"
	"github.com/hickorybank/hickorybank/internal/platform/client"
	"github.com/hickorybank/hickorybank/internal/platform/client/wire"
	standin "github.com/hickorybank/hickorybank/internal/standin/platform"
	"github.com/hickorybank/hickorybank/internal/standin/platform/control"
	"github.com/hickorybank/hickorybank/internal/standin/platform/fault"
	"github.com/hickorybank/hickorybank/internal/standin/platform/memory"
	"github.com/hickorybank/hickorybank/internal/standin/platform/rating"
)

func startWithFaults(t *testing.T, s standin.Settings) (*client.Client, *control.Client) {
	t.Helper()
	s.FaultListen = "127.0.0.1:0"
	server, c := start(t, s)
	ctl := control.New("http://" + server.FaultAddr())
	t.Cleanup(ctl.Close)
	return c, ctl
}

func put(key, value string) platform.Txn {
	return platform.Txn{Writes: []platform.Write{{Key: key, Value: []byte(value)}}}
}

// await polls until the condition holds or the test ends.
func await(t *testing.T, holds func() bool) {
	for !holds() && t.Context().Err() == nil {
		time.Sleep(time.Millisecond)
	}
}

// The table takes a write and the connection breaks before the answer. The
// writer must hear "unknown", and find its write when it looks.
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

// The network loses one direction: writes arrive and take effect, and no
// answer comes back. The writer gives up; nobody is told anything.
func TestOneWay(t *testing.T) {
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
		await(t, func() bool {
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
	c, ctl := startWithFaults(t, standin.Settings{WritesPerSecond: 0.001})
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

func TestRetryAfterHeader(t *testing.T) {
	is := is.New(t)
	server, c := start(t, standin.Settings{WritesPerSecond: 0.4})
	_, err := c.Commit(t.Context(), put("a", "x"))
	is.NoErr(err)
	body := strings.NewReader(`{"conditions":[],"writes":[]}`)
	resp, err := http.Post("http://"+server.Addr()+wire.PathCommit, "application/json", body)
	is.NoErr(err)
	defer http.DefaultClient.CloseIdleConnections()
	defer resp.Body.Close()
	is.Equal(resp.StatusCode, http.StatusTooManyRequests)
	is.True(resp.Header.Get("Retry-After") != "")
}

func TestVersionGoesBad(t *testing.T) {
	is := is.New(t)
	c, ctl := startWithFaults(t, standin.Settings{DefaultQuality: 0.9})
	ctx := t.Context()
	score, err := c.Rate(ctx, platform.RateRequest{Version: "v", Class: "draft"})
	is.NoErr(err)
	is.Equal(score, 0.9)
	is.NoErr(ctl.SetQuality(ctx, rating.Quality{Version: "v", Quality: 0.1}))
	score, err = c.Rate(ctx, platform.RateRequest{Version: "v", Class: "draft"})
	is.NoErr(err)
	is.Equal(score, 0.1)
}

func TestVMListLag(t *testing.T) {
	is := is.New(t)
	c, ctl := startWithFaults(t, standin.Settings{VMListLag: time.Minute})
	ctx := t.Context()
	is.NoErr(c.RegisterVM(ctx, platform.VM{ID: "vm-1", Role: platform.RoleEntry, Addr: "127.0.0.1:1"}))
	list, err := c.VMs().List(ctx)
	is.NoErr(err)
	is.Equal(len(list), 0)
	var none int64
	limits, err := ctl.SetLimits(ctx, memory.LimitsChange{VMListLagMS: &none})
	is.NoErr(err)
	is.Equal(limits.VMListLagMS, int64(0))
	list, err = c.VMs().List(ctx)
	is.NoErr(err)
	is.Equal(len(list), 1)
	err = c.LeaveVM(ctx, "vm-2")
	is.True(errors.Is(err, platform.ErrRefused))
}

// A roll-out loads weights, and the weight store fails in the middle. The
// loader must not take the part for the whole.
func TestWeightsCutOff(t *testing.T) {
	is := is.New(t)
	c, ctl := startWithFaults(t, standin.Settings{WeightBytes: 1 << 20})
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
		await(t, func() bool {
			stats, err := ctl.Stats(ctx)
			return err != nil || stats.WeightBytes > 1<<20
		})
		_, _ = ctl.SetFaults(ctx, fault.Change{Weights: &fault.Fault{Down: true}})
	})
	n, err = c.FetchWeights(ctx, "family/v1")
	is.True(errors.Is(err, platform.ErrRefused))
	is.True(n < 1<<20)
}

// An operator of a test mistypes a field: it must not pass for a test without
// the fault.
func TestUnknownFieldsAreNamed(t *testing.T) {
	is := is.New(t)
	server, _ := start(t, standin.Settings{FaultListen: "127.0.0.1:0"})
	defer http.DefaultClient.CloseIdleConnections()
	for _, c := range []struct{ addr, path, body, names string }{
		{server.FaultAddr(), control.PathFaults, `{"table":{"dwon":true}}`, "dwon"},
		{server.FaultAddr(), control.PathFaults, `{"tabel":{}}`, "tabel"},
		{server.FaultAddr(), control.PathFaults, `{"table":{"refuse_fraction":2}}`, "table.refuse_fraction"},
		{server.FaultAddr(), control.PathFaults, `{"table":{"down":"yes"}}`, "table.down"},
		{server.FaultAddr(), control.PathFaults, `{} {}`, "after"},
		{server.FaultAddr(), control.PathLimits, `{"vm_list_lag_ms":-1}`, "vm_list_lag_ms"},
		{server.FaultAddr(), control.PathQuality, `{"version":"v","qualty":1}`, "qualty"},
		{server.FaultAddr(), control.PathQuality, `{"version":"v","quality":7}`, "quality"},
		{server.Addr(), wire.PathCommit, `{"condition":[]}`, "condition"},
		{server.Addr(), wire.PathGet, ``, "EOF"},
	} {
		resp, err := http.Post("http://"+c.addr+c.path, "application/json", strings.NewReader(c.body))
		is.NoErr(err)
		var text strings.Builder
		is.NoErr(resp.Write(&text))
		is.NoErr(resp.Body.Close())
		is.Equal(resp.StatusCode, http.StatusBadRequest)
		if !strings.Contains(text.String(), c.names) {
			t.Errorf("%s %s: no %q in %s", c.path, c.body, c.names, text.String())
		}
	}
}

func TestSettingsAreCheckedTogether(t *testing.T) {
	is := is.New(t)
	_, err := standin.New(standin.Settings{WritesPerSecond: -1, VMListLag: -1, DefaultQuality: 3}, nil)
	is.True(err != nil)
	for _, field := range []string{"Listen", "WritesPerSecond", "VMListLag", "DefaultQuality"} {
		is.True(strings.Contains(err.Error(), field))
	}
}

func TestPortTaken(t *testing.T) {
	is := is.New(t)
	other, _ := start(t, standin.Settings{})
	server, err := standin.New(standin.Settings{Listen: "127.0.0.1:0", FaultListen: other.Addr()}, slog.New(slog.DiscardHandler))
	is.NoErr(err)
	is.True(server.Start() != nil)
	is.NoErr(server.Close(t.Context()))
}

// A stand-in is stopped while calls are held back by a fault. It must end, and
// the callers must hear that they do not know.
func TestCloseEndsHeldCalls(t *testing.T) {
	is := is.New(t)
	server, c := start(t, standin.Settings{FaultListen: "127.0.0.1:0"})
	is.NoErr(server.State().SetFaults(fault.Change{Table: &fault.Fault{DelayMS: 600_000}}))
	closed := make(chan error, 1)
	var closer conc.WaitGroup
	defer closer.Wait()
	closer.Go(func() {
		await(t, func() bool { return server.State().Stats().LateWrites == 1 })
		closed <- server.Close(context.Background())
	})
	_, err := c.Commit(t.Context(), put("a", "x"))
	is.True(errors.Is(err, platform.ErrUnknown))
	is.NoErr(<-closed)
}
