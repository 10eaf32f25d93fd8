package platform_test

import (
	"errors"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/hickorybank/hickorybank/internal/platform"
	"github.com/hickorybank/hickorybank/internal/platform/client/wire"
	standin "github.com/hickorybank/hickorybank/internal/standin/platform"
	"github.com/hickorybank/hickorybank/internal/standin/platform/control"
	"github.com/hickorybank/hickorybank/internal/standin/platform/memory"
	"github.com/hickorybank/hickorybank/internal/standin/platform/rating"
)

func TestRetryAfterHeader(t *testing.T) {
	is := is.New(t)
	server, c := start(t, standin.Settings{Settings: memory.Settings{WritesPerSecond: 0.4}})
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

// A mistyped field in a request must be refused and named. If it were ignored, a test
// would run without the fault that it sets.
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

func TestSetQualityChangesRating(t *testing.T) {
	is := is.New(t)
	c, ctl := startWithFaults(t, standin.Settings{Settings: memory.Settings{DefaultQuality: 0.9}})
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
	c, ctl := startWithFaults(t, standin.Settings{Settings: memory.Settings{VMListLag: time.Minute}})
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
