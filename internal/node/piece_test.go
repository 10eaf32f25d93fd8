package node

import (
	"bufio"
	"context"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/hickorybank/hickorybank/internal/platform"
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
	t.Cleanup(u.close)
	f := newFleet(t, fleetSize{nodes: 1})
	is.NoErr(f.store.RegisterVM(context.Background(), u.vm(platform.RoleEngine, "bare")))
	f.await("the node knows the engine", func() bool { return f.knows(f.nodes[0], fleetSize{nodes: 1, engines: 1}) })
	conn, err := net.Dial("tcp", f.nodes[0].Addr())
	is.NoErr(err)
	defer func() { _ = conn.Close() }()
	is.NoErr(conn.SetDeadline(time.Now().Add(waitLimit)))
	w := way{pieces: pieces, stream: true}
	c := bareCaller{conn: conn, in: bufio.NewReader(conn), ask: []byte(w.ask(0)), turn: turn, rest: pieces - 1}
	is.NoErr(c.run())
}
