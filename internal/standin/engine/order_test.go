package engine_test

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/matryer/is"

	"github.com/hickorybank/hickorybank/internal/standin/engine"
	"github.com/hickorybank/hickorybank/internal/upstream"
)

func order(fence uint64, action upstream.OrderAction, version string) upstream.Order {
	return upstream.Order{Fence: fence, Action: action, Version: version}
}

// A rollout driver that was paused past its lease resumes and sends an outdated order,
// which would unload a version that was rolled out meanwhile. An engine that honours
// fencing tokens must refuse the order; one that ignores them carries it out.
func TestOrderWithOldFence(t *testing.T) {
	for _, honour := range []bool{true, false} {
		is := is.New(t)
		ctx := context.Background()
		r := newRig(t, engine.Settings{HonourFence: honour})
		is.NoErr(r.client.Order(ctx, r.server.Addr(), order(7, upstream.LoadVersion, "v2")))
		err := r.client.Order(ctx, r.server.Addr(), order(6, upstream.UnloadVersion, "v2"))
		is.Equal(errors.Is(err, upstream.ErrStaleFence), honour)
		st, err := r.client.State(ctx, r.server.Addr())
		is.NoErr(err)
		if honour {
			is.Equal(st.Versions, []string{"v1", "v2"})
			is.Equal(st.Fence, uint64(7))
		} else {
			is.Equal(st.Versions, []string{"v1"})
			is.Equal(st.Fence, uint64(0))
		}
	}
}

// A version is unloaded under traffic. Running requests must be finished and new ones
// declined.
func TestUnloadFinishesRunningRequests(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	r := newRig(t, engine.Settings{TokensPerAnswer: 3})
	r.faults(t, func(f *engine.Faults) { f.SlowFactor = 10_000 })
	st := r.start(t, attempt("a", "v1", "x"))
	is.NoErr(r.client.Order(ctx, r.server.Addr(), order(1, upstream.UnloadVersion, "v1")))
	_, err := r.client.Start(ctx, r.server.Addr(), attempt("b", "v1", "x"))
	is.True(errors.Is(err, upstream.ErrUnknownVersion))
	r.faults(t, func(f *engine.Faults) { f.SlowFactor = 1 })
	chunks, err := readAll(st)
	is.NoErr(err)
	is.Equal(len(chunks), 3)
}

// Until the weight store has delivered the weights, the engine must report the version as
// loading and decline its requests. A failed download must end the load.
func TestLoadWaitsForWeights(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	release := make(chan struct{})
	store := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/weights/broken" {
			http.Error(w, "no such weights", http.StatusServiceUnavailable)
			return
		}
		<-release
	}))
	defer store.Close()
	r := newRig(t, engine.Settings{WeightsURL: store.URL})
	is.NoErr(r.client.Order(ctx, r.server.Addr(), order(1, upstream.LoadVersion, "v2")))
	st, err := r.client.State(ctx, r.server.Addr())
	is.NoErr(err)
	is.Equal(st.Loading, []string{"v2"})
	_, err = r.client.Start(ctx, r.server.Addr(), attempt("a", "v2", "x"))
	is.Equal(reachOf(t, err), upstream.Declined)
	close(release)
	waitFor(t, "the version is loaded", func() bool {
		st, err = r.client.State(ctx, r.server.Addr())
		is.NoErr(err)
		return len(st.Versions) == 2
	})
	is.Equal(len(st.Loading), 0)
	is.NoErr(r.client.Order(ctx, r.server.Addr(), order(1, upstream.LoadVersion, "broken")))
	waitFor(t, "the load is given up", func() bool {
		st, err = r.client.State(ctx, r.server.Addr())
		is.NoErr(err)
		return len(st.Loading) == 0
	})
	is.Equal(len(st.Versions), 2)
}
