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

// fixedDialect reads the same from every request.
type fixedDialect struct {
	Dialect
	ask Ask
}

func (d fixedDialect) Read(http.Header) (Ask, error) { return d.ask, nil }
func (d fixedDialect) IDField() string               { return "Id" }

// oneRoute decodes every configuration as one route to a service.
type oneRoute struct{ Source }

func (oneRoute) Decode([]byte, *route.Table) (*route.Table, error) {
	r := &route.Route{Name: "r", Host: "h", Prefix: "/", Kind: route.Once, Shares: []route.Share{{Service: "s", Weight: 1}}}
	return route.New(1, route.Limits{}, []*route.Route{r}, nil, nil), nil
}

// newUnconfiguredNode returns a node that knows nothing yet and whose callers
// give it a time.
func newUnconfiguredNode(callersTime time.Duration) *Node {
	return New(Settings{ID: "n1"}, Deps{
		Dialect: fixedDialect{ask: Ask{ID: "req-1", Time: callersTime}}, Source: oneRoute{},
		Log: slog.New(slog.DiscardHandler), Metrics: telemetry.New(telemetry.Bounds{}),
	})
}

// served is a request's answer and when it came.
type served struct {
	*httptest.ResponseRecorder
	after time.Duration
}

func serve(n *Node) <-chan served {
	done := make(chan served, 1)
	began := time.Now()
	go func() {
		w := httptest.NewRecorder()
		r := httptest.NewRequest(http.MethodPost, "http://h/a", strings.NewReader("a body"))
		n.ServeHTTP(w, r.WithContext(context.Background()))
		done <- served{w, time.Since(began)}
	}()
	return done
}

// All nodes were killed while the table was away. A caller whose request had
// been cut comes back at once, to a node that has just started: it would be
// turned away, and callers try only a few times. The table is back within a
// moment; the request waits for it, and goes on.
func TestRequestWaitsForANodeThatHasJustStarted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		n := newUnconfiguredNode(time.Minute)
		done := serve(n)
		time.Sleep(awaitMost / 2)
		synctest.Wait()
		is.Equal(n.Active(), int64(1)) // it waits
		n.applyConfig([]byte("{}"))
		n.applyFleet(FleetChange{Whole: true, Revision: 1, Put: []fleet.Record{{ID: "u", Service: "other"}}}, time.Now())
		r := <-done
		is.True(strings.Contains(r.Body.String(), noUpstream.reason)) // it was admitted, and no upstream is there
		is.True(r.after < awaitMost)
	})
}

// The table stays away. The caller is told so, true to its time: after a tenth
// of it, and two seconds at most.
func TestRequestWaitsNoLongerThanItsPart(t *testing.T) {
	for _, c := range []struct{ callers, waits time.Duration }{
		{time.Second, 100 * time.Millisecond}, {time.Minute, awaitMost}, {0, awaitMost},
	} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			r := <-serve(newUnconfiguredNode(c.callers))
			is.Equal(r.Code, http.StatusServiceUnavailable)
			is.True(strings.Contains(r.Body.String(), notYet.reason))
			is.True(r.Header().Get("Retry-After") != "")
			is.True(r.after >= c.waits && r.after <= c.waits+waitStep)
		})
	}
}
