package service_test

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/sourcegraph/conc"
	"go.uber.org/goleak"

	"github.com/hickorybank/hickorybank/internal/config"
	"github.com/hickorybank/hickorybank/internal/standin/service"
	"github.com/hickorybank/hickorybank/internal/upstream"
	"github.com/hickorybank/hickorybank/internal/upstream/client"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// waitTimeout bounds every wait of a test.
const waitTimeout = 30 * time.Second

// longDuration is longer than any test runs.
const longDuration = time.Hour

// rig is one service with a client.
type rig struct {
	server *service.Server
	client *client.Services
}

func newRig(t testing.TB, s service.Settings) *rig {
	t.Helper()
	s.ID = "s1"
	s.Service = "billing"
	s.Listen = "127.0.0.1:0"
	s.FaultListen = "127.0.0.1:0"
	server, err := service.New(s, slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	if err := server.Start(); err != nil {
		t.Fatal(err)
	}
	r := &rig{server: server, client: client.NewServices(client.Options{})}
	t.Cleanup(func() {
		cut, cancel := context.WithCancel(context.Background())
		cancel()
		_ = r.server.Close(cut)
		r.client.Close()
	})
	return r
}

func charge(key, body string) upstream.ServiceCall {
	return upstream.ServiceCall{Method: http.MethodPost, Path: "/charges/1", Key: key, Body: []byte(body)}
}

func (r *rig) do(call upstream.ServiceCall) (service.Answer, error) {
	got, err := r.client.Do(context.Background(), r.server.Addr(), call)
	if err != nil {
		return service.Answer{}, err
	}
	var a service.Answer
	return a, json.Unmarshal(got.Body, &a)
}

func (r *rig) faults(t testing.TB, change func(*service.Faults)) {
	t.Helper()
	err := r.server.ChangeFaults(func(f *service.Faults) error {
		change(f)
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
}

func waitFor(t testing.TB, condition string, holds func() bool) {
	t.Helper()
	for end := time.Now().Add(waitTimeout); time.Now().Before(end); time.Sleep(time.Millisecond) {
		if holds() {
			return
		}
	}
	t.Fatal("timed out waiting for: " + condition)
}

func reachOf(t testing.TB, err error) upstream.Reach {
	t.Helper()
	var e *upstream.Error
	if !errors.As(err, &e) {
		t.Fatalf("error is no *upstream.Error: %v", err)
	}
	return e.Reach
}

// A call that arrives twice must run twice and be listed, so that tests can detect the
// duplicate.
func TestRepeatedCallsAreCounted(t *testing.T) {
	is := is.New(t)
	r := newRig(t, service.Settings{})
	for n := range 2 {
		a, err := r.do(charge("k1", "x"))
		is.NoErr(err)
		is.Equal(a, service.Answer{Service: "billing", Path: "/charges/1", Key: "k1", Count: n + 1, Echo: "x"})
	}
	for range 2 { // without a key these are different calls
		_, err := r.do(charge("", "x"))
		is.NoErr(err)
	}
	_, err := r.do(charge("k2", "x"))
	is.NoErr(err)
	is.Equal(r.server.RepeatedCalls(), []service.RepeatedCall{{Method: "POST", Path: "/charges/1", Key: "k1", Count: 2}})
	is.Equal(r.server.Counts(), service.Counts{Started: 5, Completed: 5})
}

func TestUnknownCallsAreDeclined(t *testing.T) {
	is := is.New(t)
	r := newRig(t, service.Settings{Calls: []config.Call{{Method: "POST", Path: "/charges/"}}})
	_, err := r.do(charge("k", "x"))
	is.NoErr(err)
	_, err = r.do(upstream.ServiceCall{Method: http.MethodGet, Path: "/charges/1"})
	is.Equal(reachOf(t, err), upstream.Declined)
	_, err = r.do(upstream.ServiceCall{Method: http.MethodPost, Path: "/refunds/1"})
	is.Equal(reachOf(t, err), upstream.Declined)
	is.Equal(r.server.Counts(), service.Counts{Started: 1, Completed: 1, Declined: 2})
}

// The connection breaks after a call has taken effect and before its answer. The caller
// must get MaybeRun, and a retry must count as the second run.
func TestLostAnswerAfterRun(t *testing.T) {
	is := is.New(t)
	r := newRig(t, service.Settings{})
	r.faults(t, func(f *service.Faults) { f.LoseAnswers = 1 })
	_, err := r.do(charge("k", "x"))
	is.Equal(reachOf(t, err), upstream.MaybeRun)
	is.Equal(r.server.Counts(), service.Counts{Started: 1, Completed: 1, LostAnswers: 1})
	a, err := r.do(charge("k", "x"))
	is.NoErr(err)
	is.Equal(a.Count, 2)
}

// A call with the crash marker crashes the service during another call. Both have started,
// so both must return MaybeRun; until the restart, calls must return NotSent.
func TestCrashMarkerCrashesService(t *testing.T) {
	is := is.New(t)
	r := newRig(t, service.Settings{})
	r.faults(t, func(f *service.Faults) {
		f.CrashMarker = "poison"
		f.RestartMillis = longDuration.Milliseconds()
		f.DelayMillis = longDuration.Milliseconds()
	})
	var concurrentErr error
	var wg conc.WaitGroup
	wg.Go(func() { _, concurrentErr = r.do(charge("k1", "x")) })
	waitFor(t, "the first call runs", func() bool { return r.server.Counts().Started == 1 })
	_, err := r.do(charge("k2", "some poison"))
	is.Equal(reachOf(t, err), upstream.MaybeRun)
	wg.Wait()
	is.Equal(reachOf(t, concurrentErr), upstream.MaybeRun)
	_, err = r.do(charge("k3", "x"))
	is.Equal(reachOf(t, err), upstream.NotSent)
	is.Equal(r.server.Counts(), service.Counts{Started: 2, Lost: 2, Crashes: 1})
	r.faults(t, func(f *service.Faults) { f.RestartMillis, f.DelayMillis = 0, 0 })
	waitFor(t, "the service is back", func() bool {
		_, err := r.do(charge("k4", "x"))
		return err == nil
	})
}

// A caller gives up on a frozen service. The service must still run the call after the
// thaw.
func TestFrozenServiceRunsCallAfterThaw(t *testing.T) {
	is := is.New(t)
	r := newRig(t, service.Settings{})
	r.faults(t, func(f *service.Faults) { f.Frozen = true })
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Millisecond)
	defer cancel()
	_, err := r.client.Do(ctx, r.server.Addr(), charge("k", "x"))
	is.Equal(reachOf(t, err), upstream.MaybeRun)
	is.Equal(r.server.Counts().Started, 0)
	r.faults(t, func(f *service.Faults) { f.Frozen = false })
	waitFor(t, "the call has run", func() bool { return r.server.Counts().Completed == 1 })
}

func TestDownAndLeaving(t *testing.T) {
	is := is.New(t)
	r := newRig(t, service.Settings{Limit: 8})
	r.faults(t, func(f *service.Faults) { f.Down = true })
	_, err := r.do(charge("k", "x"))
	is.Equal(reachOf(t, err), upstream.NotSent)
	r.faults(t, func(f *service.Faults) { f.Down, f.Leaving = false, true })
	_, err = r.do(charge("k", "x"))
	is.Equal(reachOf(t, err), upstream.Declined)
	got, err := r.client.Do(context.Background(), r.server.Addr(), upstream.ServiceCall{Method: http.MethodGet, Path: "/load"})
	is.NoErr(err)
	var report upstream.LoadReport
	is.NoErr(json.Unmarshal(got.Body, &report))
	is.Equal(report.Limit, 8)
	is.True(report.Leaving)
	is.Equal(r.server.Counts().Started, 0)
}

// A load report must show a running call once the lag has passed.
func TestLoadReportLags(t *testing.T) {
	is := is.New(t)
	r := newRig(t, service.Settings{Latency: longDuration, LoadLag: 50 * time.Millisecond})
	var wg conc.WaitGroup
	ctx, cancel := context.WithCancel(context.Background())
	wg.Go(func() { _, _ = r.client.Do(ctx, r.server.Addr(), charge("k", "x")) })
	waitFor(t, "the call shows", func() bool {
		got, err := r.client.Do(context.Background(), r.server.Addr(), upstream.ServiceCall{Method: http.MethodGet, Path: "/load"})
		is.NoErr(err)
		return strings.Contains(string(got.Body), `"running":1`)
	})
	cancel()
	wg.Wait()
}

func TestFaultPort(t *testing.T) {
	is := is.New(t)
	defer http.DefaultClient.CloseIdleConnections()
	r := newRig(t, service.Settings{})
	ask := func(path, body string) (int, string) {
		url := "http://" + r.server.FaultAddr() + path
		var res *http.Response
		var err error
		if body == "" {
			res, err = http.Get(url)
		} else {
			res, err = http.Post(url, "application/json", strings.NewReader(body))
		}
		is.NoErr(err)
		defer func() { is.NoErr(res.Body.Close()) }()
		data, err := io.ReadAll(res.Body)
		is.NoErr(err)
		return res.StatusCode, strings.TrimSpace(string(data))
	}
	status, _ := ask("/faults", `{"lose_answers":1,"crash_marker":"poison"}`)
	is.Equal(status, http.StatusOK)
	status, _ = ask("/faults", `{"delay_ms":1}`)
	is.Equal(status, http.StatusOK)
	is.Equal(r.server.Faults().LoseAnswers, 1) // not in the change, so unchanged
	for _, bad := range []string{`{`, `{"unknown":1}`, `{"delay_ms":-1}`, `{"lose_answers":-1}`} {
		status, _ = ask("/faults", bad)
		is.Equal(status, http.StatusBadRequest)
	}
	for i := range 3 {
		_, err := r.do(charge(fmt.Sprint("k", i/2), "x"))
		is.Equal(err != nil, i == 0)
	}
	_, body := ask("/doubles", "")
	is.Equal(body, `[{"method":"POST","path":"/charges/1","key":"k0","count":2}]`)
	_, body = ask("/runs?after=2", "")
	is.Equal(body, `{"after":2,"total":3,"runs":[{"method":"POST","path":"/charges/1","key":"k1","state":"completed"}]}`)
	status, _ = ask("/runs?after=x", "")
	is.Equal(status, http.StatusBadRequest)
	_, body = ask("/counts", "")
	is.Equal(body, `{"started":3,"completed":3,"lost":0,"lost_answers":1,"declined":0,"crashes":0}`)
}
