package gateway

import (
	"context"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/hickorybank/hickorybank/internal/fleet"
	"github.com/hickorybank/hickorybank/internal/route"
	"github.com/hickorybank/hickorybank/internal/telemetry"
)

// fixedDialect reads the same values from every request.
type fixedDialect struct {
	Dialect
	ask CallerHeaders
}

func (d fixedDialect) Read(http.Header) (CallerHeaders, error) { return d.ask, nil }
func (d fixedDialect) IDField() string                         { return "Id" }

// oneRoute decodes every configuration as one route to a service.
type oneRoute struct{ Source }

func (oneRoute) Decode([]byte, *route.Table) (*route.Table, error) {
	r := &route.Route{Name: "r", Host: "h", Prefix: "/", Kind: route.Once, Shares: []route.Share{{Service: "s", Weight: 1}}}
	return route.New(1, route.Limits{}, []*route.Route{r}, nil, nil), nil
}

func (oneRoute) LoadCrashes(context.Context) (CrashRow, error) { return CrashRow{}, nil }

// newUnconfiguredNode returns a node without state, whose callers set a timeout.
func newUnconfiguredNode(callersTime time.Duration) *Node {
	return New(Settings{ID: "n1"}, Deps{
		Dialect: fixedDialect{ask: CallerHeaders{ID: "req-1", Timeout: callersTime}}, Source: oneRoute{},
		Log: slog.New(slog.DiscardHandler), Metrics: telemetry.New(telemetry.Bounds{}),
	})
}

// response is a request's answer and its delay.
type response struct {
	*httptest.ResponseRecorder
	after time.Duration
}

func serve(n *Node) <-chan response {
	done := make(chan response, 1)
	began := time.Now()
	go func() {
		w := httptest.NewRecorder()
		r := httptest.NewRequest(http.MethodPost, "http://h/a", strings.NewReader("a body"))
		n.ServeHTTP(w, r.WithContext(context.Background()))
		done <- response{w, time.Since(began)}
	}()
	return done
}

// Fails if a node that has just started refuses requests, after all nodes were killed
// while the table was unavailable. Callers whose requests were cut retry at once and only
// a few times. The request must wait until the node has read the table.
func TestRequestWaitsForNodeToLearnItsConfiguration(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		n := newUnconfiguredNode(time.Minute)
		done := serve(n)
		time.Sleep(maxConfigWait / 2)
		synctest.Wait()
		is.Equal(n.Active(), int64(1)) // the request waits
		n.applyConfig([]byte("{}"))
		n.applyFleet(FleetChange{Complete: true, Revision: 1, Put: []fleet.Record{{ID: "u", Service: "other"}}}, time.Now())
		r := <-done
		is.True(strings.Contains(r.Body.String(), noUpstream.reason)) // it was admitted, and there is no upstream
		is.True(r.after < maxConfigWait)
	})
}

// Requests wait only a limited time for a table that stays unavailable. They are refused
// after a tenth of the caller's timeout, and after two seconds at most.
func TestConfigurationWaitIsBounded(t *testing.T) {
	for _, c := range []struct{ callers, waits time.Duration }{
		{time.Second, 100 * time.Millisecond}, {time.Minute, maxConfigWait}, {0, maxConfigWait},
	} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			r := <-serve(newUnconfiguredNode(c.callers))
			is.Equal(r.Code, http.StatusServiceUnavailable)
			is.True(strings.Contains(r.Body.String(), notReady.reason))
			is.True(r.Header().Get("Retry-After") != "")
			is.True(r.after >= c.waits && r.after <= c.waits+waitPollInterval)
		})
	}
}
