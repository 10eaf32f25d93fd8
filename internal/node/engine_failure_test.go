package node

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"

	"github.com/hickorybank/hickorybank/internal/upstream"
	upstreamclient "github.com/hickorybank/hickorybank/internal/upstream/client"
)

// failingEngines answer the next failures attempts with a status, without a statement on whether
// they ran.
type failingEngines struct {
	upstream.Engines
	failures atomic.Int64
	status   atomic.Int64
}

func (e *failingEngines) Start(ctx context.Context, addr string, a upstream.Attempt) (upstream.Stream, error) {
	if e.failures.Add(-1) < 0 {
		return e.Engines.Start(ctx, addr, a)
	}
	err := &upstreamclient.StatusError{Status: int(e.status.Load())}
	if err.Status == http.StatusNotFound {
		err.Cause = upstream.ErrUnknownVersion
	}
	return nil, &upstream.Error{Reach: upstream.MaybeRun, Addr: addr, Err: err}
}

// Fails if a version is held for failures of engines that start, have no room or have not loaded
// it, or is not held for its own.
func TestOnlyFailuresOfTheVersionHoldIt(t *testing.T) {
	t.Parallel()
	for status, held := range map[int]bool{
		http.StatusServiceUnavailable: false, http.StatusTooManyRequests: false, http.StatusBadGateway: false,
		http.StatusNotFound: false, http.StatusInternalServerError: true,
	} {
		t.Run(fmt.Sprint(status), func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			engines := &failingEngines{}
			engines.status.Store(int64(status))
			size := small
			size.nodes, size.engines = 1, 4
			size.through = func(e upstream.Engines) upstream.Engines {
				engines.Engines = e
				return engines
			}
			f := newFleet(t, size)
			engines.failures.Store(60)
			for k := 0; engines.failures.Load() > 0 && k < 200; k++ {
				_, err := f.chat(f.nodes[0], "dues@2", "", fmt.Sprint("early ", k))
				is.NoErr(err)
			}
			engines.failures.Store(0)
			f.await("engines are tried again", func() bool {
				r, err := f.chat(f.nodes[0], "dues@2", "", "later")
				is.NoErr(err)
				if isComplete(r, "later", size.tokens) {
					is.True(!held)
					return true
				}
				is.True(held || !strings.Contains(r.body, "version_held"))
				return held && strings.Contains(r.body, "version_held")
			})
		})
	}
}
