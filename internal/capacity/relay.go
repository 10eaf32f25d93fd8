package capacity

import (
	"io"
	"net"
	"sync/atomic"

	"github.com/rotisserie/eris"
	"github.com/sourcegraph/conc"
)

// relay carries TCP connections to an address and counts the bytes of both
// directions.
type relay struct {
	listener net.Listener
	to       string
	bytes    atomic.Int64
	duties   conc.WaitGroup
}

func newRelay(to string) (*relay, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, eris.Wrap(err, "listen")
	}
	r := &relay{listener: listener, to: to}
	r.duties.Go(r.accept)
	return r, nil
}

func (r *relay) addr() string { return r.listener.Addr().String() }

func (r *relay) accept() {
	for {
		in, err := r.listener.Accept()
		if err != nil {
			return
		}
		out, err := net.Dial("tcp", r.to)
		if err != nil {
			_ = in.Close()
			continue
		}
		r.duties.Go(func() { r.carry(in, out) })
		r.duties.Go(func() { r.carry(out, in) })
	}
}

// carry copies until either end closes, which then ends the other direction.
func (r *relay) carry(from, to net.Conn) {
	_, _ = io.Copy(to, counting{Reader: from, bytes: &r.bytes})
	_ = from.Close()
	_ = to.Close()
}

// close ends the relay; its connections must have been closed at one end.
func (r *relay) close() {
	_ = r.listener.Close()
	r.duties.Wait()
}

type counting struct {
	io.Reader
	bytes *atomic.Int64
}

func (c counting) Read(p []byte) (int, error) {
	n, err := c.Reader.Read(p)
	c.bytes.Add(int64(n))
	return n, err
}
