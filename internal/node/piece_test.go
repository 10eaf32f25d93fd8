package node

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/hickorybank/hickorybank/internal/platform"
	"github.com/hickorybank/hickorybank/internal/rawhttp"
)

// An instructor sees a draft stand still. The engine sends each piece only when
// the one before has been read; a router that holds a piece back until another
// comes would wait for ever.
func TestNoPieceWaitsForTheNext(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	const pieces = 8
	turn := make(chan struct{}, 1)
	u := newBareUpstream(t, pieces, []chan struct{}{turn})
	t.Cleanup(u.Close)
	f := newFleet(t, fleetSize{nodes: 1})
	is.NoErr(f.store.RegisterVM(context.Background(), u.vm(platform.RoleEngine, "bare")))
	f.await("the node knows the engine", func() bool { return f.knows(f.nodes[0], fleetSize{nodes: 1, engines: 1}) })
	w := way{pieces: pieces, stream: true}
	c := rawhttp.Caller{Ask: []byte(w.ask(0)), Turn: turn, Rest: pieces - 1}
	is.NoErr(c.Dial(f.nodes[0].Addr()))
	defer c.Close()
	is.NoErr(c.SetDeadline(time.Now().Add(waitLimit)))
	is.NoErr(c.Run())
}
