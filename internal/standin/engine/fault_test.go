package engine_test

import (
	"context"
	"encoding/json"
	"errors"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/hickorybank/hickorybank/internal/standin/engine"
	"github.com/hickorybank/hickorybank/internal/upstream"
)

// A request with the crash marker crashes the engine. Every stream must break, the port
// must refuse connections, and the engine must restart in its initial state.
func TestCrashMarkerCrashesEngine(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	r := newRig(t, engine.Settings{TokenGap: longDuration, TokensPerAnswer: 1_000_000, BatchLimit: 4, HonourFence: true})
	is.NoErr(r.client.Order(ctx, r.server.Addr(), order(9, upstream.LoadVersion, "v2")))
	r.faults(t, func(f *engine.Faults) {
		f.CrashMarker = "poison"
		f.RestartMillis = longDuration.Milliseconds()
		f.SlowFactor = 1e-6 // makes steps short enough for the marked request to join
	})
	before, err := r.client.Load(ctx, r.server.Addr())
	is.NoErr(err)
	innocent := r.start(t, attempt("a", "v2", "x"))
	marked, err := r.client.Start(ctx, r.server.Addr(), attempt("b", "v1", "some poison"))
	if err == nil {
		_, err = readAll(marked)
	}
	is.Equal(reachOf(t, err), upstream.MaybeRun)
	_, err = readAll(innocent)
	is.Equal(reachOf(t, err), upstream.MaybeRun)
	counts := r.server.Counts()
	is.Equal(counts.Crashes, 1)
	is.Equal(counts.Started, 2)
	is.Equal(counts.Lost, 2)
	_, err = r.client.Start(ctx, r.server.Addr(), attempt("c", "v1", "x"))
	is.Equal(reachOf(t, err), upstream.NotSent)
	r.faults(t, func(f *engine.Faults) { f.RestartMillis = 0 })
	var st upstream.EngineState
	waitFor(t, "the engine is back", func() bool {
		st, err = r.client.State(ctx, r.server.Addr())
		return err == nil
	})
	is.Equal(st.Versions, []string{"v1"})
	is.Equal(st.Fence, uint64(0))
	after, err := r.client.Load(ctx, r.server.Addr())
	is.NoErr(err)
	is.True(after.Epoch > before.Epoch)
	_, err = r.client.Resume(ctx, r.server.Addr(), "a", 0)
	is.True(errors.Is(err, upstream.ErrUnknownStream))
}

// A caller gives up on a frozen engine. The engine must still run the request after the
// thaw.
func TestFrozenEngineRunsRequestAfterThaw(t *testing.T) {
	is := is.New(t)
	r := newRig(t, engine.Settings{})
	r.faults(t, func(f *engine.Faults) { f.Frozen = true })
	reach := upstream.NotSent
	// On a busy machine a short timeout can expire before the request is sent.
	for limit := 20 * time.Millisecond; reach == upstream.NotSent; limit *= 2 {
		ctx, cancel := context.WithTimeout(context.Background(), limit)
		_, err := r.client.Start(ctx, r.server.Addr(), attempt("a", "v1", "x"))
		cancel()
		reach = reachOf(t, err)
	}
	is.Equal(reach, upstream.MaybeRun)
	is.Equal(r.server.Counts().Started, 0)
	r.faults(t, func(f *engine.Faults) { f.Frozen = false })
	waitFor(t, "the run is done", func() bool { return r.server.Counts().Completed == 1 })
}

// An engine that cannot be reached must continue its generations.
func TestDownEngineContinuesGenerations(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	r := newRig(t, engine.Settings{TokensPerAnswer: 3})
	r.faults(t, func(f *engine.Faults) { f.SlowFactor = 10_000 })
	st := r.start(t, attempt("a", "v1", "x"))
	r.faults(t, func(f *engine.Faults) { f.Down = true })
	_, err := readAll(st)
	is.Equal(reachOf(t, err), upstream.MaybeRun)
	_, err = r.client.Start(ctx, r.server.Addr(), attempt("b", "v1", "x"))
	is.Equal(reachOf(t, err), upstream.NotSent)
	r.faults(t, func(f *engine.Faults) { f.Down, f.SlowFactor = false, 1 })
	st, err = r.client.Resume(ctx, r.server.Addr(), "a", 0)
	is.NoErr(err)
	chunks, err := readAll(st)
	is.NoErr(err)
	is.Equal(len(chunks), 3)
}

// Close during a stream must wait until the stream is complete.
func TestCloseFinishesStreams(t *testing.T) {
	is := is.New(t)
	r := newRig(t, engine.Settings{TokensPerAnswer: 50, TokenGap: time.Millisecond})
	st := r.start(t, attempt("a", "v1", "x"))
	_, err := st.Next()
	is.NoErr(err)
	closed := make(chan error)
	go func() { closed <- r.server.Close(context.Background()) }()
	chunks, err := readAll(st)
	is.NoErr(err)
	is.Equal(len(chunks), 49)
	is.NoErr(<-closed)
}

func TestFaultPort(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	r := newRig(t, engine.Settings{LoadLag: 250 * time.Millisecond})
	port := r.port(t)
	is.NoErr(port.Change(ctx, json.RawMessage(`{"crash_marker":"poison","bad_versions":[{"version":"v1","error_rate":1}]}`), nil))
	var f engine.Faults
	is.NoErr(port.Change(ctx, json.RawMessage(`{"cut_streams":2}`), &f))
	is.Equal(f.CrashMarker, "poison") // not in the change, so unchanged
	is.Equal(f.CutStreams, 2)
	is.Equal(f.LoadLagMillis, int64(250))
	is.Equal(len(f.BadVersions), 1)
	for _, bad := range []string{`1`, `{"unknown":1}`, `{"slow_factor":0}`, `{"cut_after":-1}`, `{"bad_versions":[{"version":""}]}`} {
		is.True(port.Change(ctx, json.RawMessage(bad), nil) != nil)
	}
	is.NoErr(port.Get(ctx, "/faults", &f))
	is.Equal(f.CutStreams, 2)
	is.NoErr(port.Change(ctx, json.RawMessage(`{"cut_streams":0,"bad_versions":[]}`), nil))
	_, err := readAll(r.start(t, attempt("a", "v1", "x")))
	is.NoErr(err)
	var page engine.RunPage
	is.NoErr(port.Get(ctx, "/runs?after=0", &page))
	is.Equal(page.Total, 1)
	is.Equal(page.Runs[0], engine.Run{Attempt: "a", Version: "v1", Digest: engine.Digest("x"), State: engine.RunCompleted})
	var counts engine.Counts
	is.NoErr(port.Get(ctx, "/counts", &counts))
	is.Equal(counts.Completed, 1)
	is.True(port.Get(ctx, "/runs?after=x", &page) != nil)
}

// An attempt that is sent twice must have two runs, so that tests can detect the
// duplicate.
func TestAttemptSentTwiceRunsTwice(t *testing.T) {
	is := is.New(t)
	r := newRig(t, engine.Settings{})
	for range 2 {
		_, err := readAll(r.start(t, attempt("a", "v1", "x")))
		is.NoErr(err)
	}
	is.Equal(r.server.Counts().Started, 2)
	st, err := r.client.Resume(context.Background(), r.server.Addr(), "a", 0)
	is.NoErr(err)
	_, err = readAll(st)
	is.NoErr(err)
}
