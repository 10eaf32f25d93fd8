package capacity

import (
	"io"
	"net"
	"sync/atomic"

	"github.com/rotisserie/eris"
	"github.com/sourcegraph/conc"
)

// relay forwards TCP connections to an address and counts the bytes of both directions.
type relay struct {
	listener   net.Listener
	to         string
	bytes      atomic.Int64
	forwarders conc.WaitGroup
}

func newRelay(to string) (*relay, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, eris.Wrap(err, "listen")
	}
	r := &relay{listener: listener, to: to}
	r.forwarders.Go(r.accept)
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
		r.forwarders.Go(func() { r.forward(in, out) })
		r.forwarders.Go(func() { r.forward(out, in) })
	}
}

// forward copies until either end closes and then closes both connections.
func (r *relay) forward(from, to net.Conn) {
	_, _ = io.Copy(to, countingReader{Reader: from, bytes: &r.bytes})
	_ = from.Close()
	_ = to.Close()
}

// close stops the relay. Each of its connections must already be closed at one end.
func (r *relay) close() {
	_ = r.listener.Close()
	r.forwarders.Wait()
}

type countingReader struct {
	io.Reader
	bytes *atomic.Int64
}

func (c countingReader) Read(p []byte) (int, error) {
	n, err := c.Reader.Read(p)
	c.bytes.Add(int64(n))
	return n, err
}
