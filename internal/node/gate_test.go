package node

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/hickorybank/hickorybank/internal/admission"
	"github.com/hickorybank/hickorybank/internal/config"
	"github.com/hickorybank/hickorybank/internal/request"
)

// Fails if requests wait for their whole deadline in the admission queue: the slot
// that they wait for never comes free.
func TestQueuedRequestIsRefusedWithoutASlot(t *testing.T) {
	for kind, bound := range map[config.Kind]time.Duration{
		config.Immediate: time.Second, config.Heavy: 4 * time.Second, config.Deferrable: 12 * time.Second,
	} {
		t.Run(string(kind), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				g := newGate(Settings{ID: "e1"})
				ctx, cancel := context.WithTimeout(t.Context(), 2*time.Minute)
				go g.expireQueued(ctx)
				g.queue.SetCapacity("pool", 1)
				ask := func(id string) *request.Failure {
					return g.enter(ctx, admission.Request{ID: id, Org: "org", Weight: 1, Kind: kind, Pool: "pool", Deadline: time.Now().Add(2 * time.Minute)})
				}
				is.Equal(ask("running"), nil) // holds the only slot for good
				began := time.Now()
				fail := ask("queued")
				is.True(time.Since(began) <= bound+queueCheckInterval)
				is.Equal(fail.Code, request.CodeOverloaded)
				is.Equal(fail.Outcome, request.NotRun)
				is.True(fail.RetryAfter > 0)
				cancel()
				synctest.Wait()
			})
		})
	}
}
