package load

import (
	"context"
	"log/slog"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/hickorybank/hickorybank/internal/platform"
	"github.com/hickorybank/hickorybank/internal/request"
	"github.com/hickorybank/hickorybank/internal/standin/engine"
	"github.com/hickorybank/hickorybank/internal/standin/service"
	upstreamclient "github.com/hickorybank/hickorybank/internal/upstream/client"
)

type vmList []platform.VM

func (l vmList) List(context.Context) ([]platform.VM, error) { return l, nil }

func TestDirectLaneSendsToUpstreams(t *testing.T) {
	is := is.New(t)
	log := slog.New(slog.DiscardHandler)
	e, err := engine.New(engine.Settings{ID: "e", Listen: "127.0.0.1:0", Versions: []string{"dues@1"}, BatchLimit: 4, TokenGap: time.Millisecond, TokensPerAnswer: 5}, log)
	is.NoErr(err)
	is.NoErr(e.Start())
	defer func() { is.NoErr(e.Close(context.Background())) }()
	s, err := service.New(service.Settings{ID: "s", Service: "billing", Listen: "127.0.0.1:0"}, log)
	is.NoErr(err)
	is.NoErr(s.Start())
	defer func() { is.NoErr(s.Close(context.Background())) }()
	engines, services := upstreamclient.NewEngines(upstreamclient.Options{}), upstreamclient.NewServices(upstreamclient.Options{})
	defer engines.Close()
	defer services.Close()
	vms := vmList{
		{ID: "n", Role: platform.RoleEntry, Addr: "127.0.0.1:1", State: platform.Live},
		{ID: "e", Role: platform.RoleEngine, Addr: e.Addr(), State: platform.Live},
		{ID: "s", Role: platform.RoleService, Service: "billing", Addr: s.Addr(), State: platform.Live},
	}
	lane, err := NewDirect(context.Background(), "r", &Mix{Prices: []Price{{Version: "dues@1", Output: 1000}}}, vms, engines, services)
	is.NoErr(err)
	clock := startClock()
	do := func(w Work) Result { return lane.Do(context.Background(), Job{Work: &w, Draw: 1 << 40}, clock) }

	got := do(Work{Model: "draft", Versions: []string{"dues@1"}, Stream: true, PromptBytes: 500})
	is.Equal(got.Outcome, request.Completed)
	is.Equal(got.Check, Whole)
	is.Equal(got.Version, "dues@1")
	is.Equal(len(got.Gaps), 4)
	is.Equal(got.Cost, int64(5))
	got = do(Work{Service: "billing", Method: "GET", Path: "/receipts/"})
	is.Equal(got.Outcome, request.Completed)
	is.Equal(got.Check, Whole)
	is.Equal(do(Work{Model: "dues@9"}).Code, "no_upstream")
	is.Equal(do(Work{Service: "gone", Method: "GET", Path: "/"}).Code, "no_upstream")
}
