package platform_test

import (
	"context"
	"errors"
	"log/slog"
	"strings"
	"testing"

	"github.com/matryer/is"
	"github.com/sourcegraph/conc"

	"github.com/hickorybank/hickorybank/internal/platform"
	standin "github.com/hickorybank/hickorybank/internal/standin/platform"
	"github.com/hickorybank/hickorybank/internal/standin/platform/fault"
	"github.com/hickorybank/hickorybank/internal/standin/platform/memory"
)

func TestValidateReportsEveryInvalidSetting(t *testing.T) {
	is := is.New(t)
	_, err := standin.New(standin.Settings{Settings: memory.Settings{WritesPerSecond: -1, VMListLag: -1, DefaultQuality: 3}}, nil)
	is.True(err != nil)
	for _, field := range []string{"Listen", "WritesPerSecond", "VMListLag", "DefaultQuality"} {
		is.True(strings.Contains(err.Error(), field))
	}
}

func TestStartFailsOnOccupiedPort(t *testing.T) {
	is := is.New(t)
	other, _ := start(t, standin.Settings{})
	server, err := standin.New(standin.Settings{Listen: "127.0.0.1:0", FaultListen: other.Addr()}, slog.New(slog.DiscardHandler))
	is.NoErr(err)
	is.True(server.Start() != nil)
	is.NoErr(server.Close(t.Context()))
}

// The server is closed while a fault delays a call. Close must return without waiting
// for the delay, and the caller must get [platform.ErrUnknown].
func TestCloseEndsDelayedCalls(t *testing.T) {
	is := is.New(t)
	server, c := start(t, standin.Settings{FaultListen: "127.0.0.1:0"})
	is.NoErr(server.State().SetFaults(fault.Change{Table: &fault.Fault{DelayMS: 600_000}}))
	closed := make(chan error, 1)
	var closer conc.WaitGroup
	defer closer.Wait()
	closer.Go(func() {
		waitUntil(t, func() bool { return server.State().Stats().LateWrites == 1 })
		closed <- server.Close(context.Background())
	})
	_, err := c.Commit(t.Context(), put("a", "x"))
	is.True(errors.Is(err, platform.ErrUnknown))
	is.NoErr(<-closed)
}
