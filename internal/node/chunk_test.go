package node

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/hickorybank/hickorybank/internal/platform"
	"github.com/hickorybank/hickorybank/internal/rawhttp"
)

// Fails if a stream stalls because the node holds a chunk back until the next one
// arrives. The engine sends each chunk only after the caller has read the one before.
func TestChunkIsSentBeforeTheNextArrives(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	const chunks = 8
	turn := make(chan struct{}, 1)
	u := newRawUpstream(t, chunks, []chan struct{}{turn})
	t.Cleanup(u.Close)
	f := newFleet(t, fleetSize{nodes: 1})
	is.NoErr(f.store.RegisterVM(context.Background(), u.vm(platform.RoleEngine, "bare")))
	f.await("the node knows the engine", func() bool { return f.knows(f.nodes[0], fleetSize{nodes: 1, engines: 1}) })
	w := workload{chunks: chunks, stream: true}
	c := rawhttp.Caller{Request: []byte(w.requestOf(0)), Release: turn, HeldEvents: chunks - 1}
	is.NoErr(c.Dial(f.nodes[0].Addr()))
	defer c.Close()
	is.NoErr(c.SetDeadline(time.Now().Add(waitLimit)))
	is.NoErr(c.Run())
}
