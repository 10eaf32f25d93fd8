package gateway

import (
	"context"
	"fmt"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/hickorybank/hickorybank/internal/exchange"
	"github.com/hickorybank/hickorybank/internal/fleet"
	"github.com/hickorybank/hickorybank/internal/route"
	"github.com/hickorybank/hickorybank/internal/telemetry"
)

// nopDialect reads and writes no headers.
type nopDialect struct{}

func (nopDialect) Read(http.Header) (CallerHeaders, error)                               { return CallerHeaders{}, nil }
func (nopDialect) Forward(http.Header, *CallerHeaders, *ForwardHeaders) []exchange.Field { return nil }
func (nopDialect) Reply(int, http.Header) Reply                                          { return Reply{} }
func (nopDialect) IDField() string                                                       { return "" }

// Fails under the race detector if an attempt reads its upstream's ID and address while a
// newer record of the upstream is applied.
func TestRecordChangesDuringAnAttempt(t *testing.T) {
	const attempts = 300
	n := New(Settings{ID: "n", Drain: time.Second, Apply: time.Second}, Deps{
		Dialect: nopDialect{}, Log: slog.New(slog.DiscardHandler), Metrics: telemetry.New(telemetry.Bounds{}),
	})
	n.allowedVersions[versionKey("s", "v1")] = true
	put := func(id string, slots int) {
		n.mu.Lock()
		defer n.mu.Unlock()
		n.fleet.Put(fleet.Record{ID: id, Service: "s", Addr: "127.0.0.1:1", Version: "v1", Slots: slots}, time.Now())
	}
	var current atomic.Int64
	var changes conc.WaitGroup
	changes.Go(func() {
		for slots := 1; current.Load() < attempts; slots++ {
			put(fmt.Sprint("u", current.Load()), 1+slots%2)
		}
	})
	for i := range int64(attempts) {
		put(fmt.Sprint("u", i), 1)
		current.Store(i)
		r := httptest.NewRequest(http.MethodGet, "/", nil)
		j := &job{
			node: n, w: httptest.NewRecorder(), r: r, ctx: context.Background(), service: "s",
			route: &route.Route{MaxAttempts: 1}, deadline: time.Now().Add(time.Minute), start: time.Now(),
			config: &configuration{Table: &route.Table{}},
		}
		if a, _ := n.newAttempt(j); a != nil {
			j.runAttempt(a)
		}
	}
	current.Store(attempts)
	changes.Wait()
}
