package client

import (
	"io"
	"net"
	"sync"
	"time"

	"github.com/hickorybank/hickorybank/internal/httphead"
)

// silentAfter is how long no bytes pass on a connection until it counts as silent.
const silentAfter = 250 * time.Millisecond

// openConns are the open connections of a client.
type openConns struct {
	// noteAlive is called when an upstream has sent bytes on a direct connection; nil for
	// nothing.
	noteAlive func(now time.Time)

	mu    sync.Mutex
	conns map[*sealableConn]string // the address of each
}

func newOpenConns(d Dialer) *openConns {
	o := &openConns{conns: map[*sealableConn]string{}}
	if observer, ok := d.(interface{ NoteAlive(now time.Time) }); ok {
		o.noteAlive = observer.NoteAlive
	}
	return o
}

// add returns an opened connection to an address.
func (o *openConns) add(addr string, nc net.Conn) *sealableConn {
	checked := httphead.NewConn(nc)
	c := &sealableConn{Conn: checked, checked: checked, open: o}
	if r, ok := nc.(interface{ Relayed() bool }); ok {
		c.relayed = r.Relayed()
	}
	c.activeAt.Store(time.Now().UnixNano())
	o.mu.Lock()
	defer o.mu.Unlock()
	o.conns[c] = addr
	return c
}

func (o *openConns) remove(c *sealableConn) {
	if o == nil {
		return
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	delete(o.conns, c)
}

func (o *openConns) noteRead(c *sealableConn, now time.Time) {
	if o == nil || c.relayed {
		return
	}
	c.activeAt.Store(now.UnixNano())
	if o.noteAlive != nil {
		o.noteAlive(now)
	}
}

// closeSilent closes the direct connections over lost links on which no bytes pass, whether a
// call waits on them or not.
func (o *openConns) closeSilent(isLost func(addr string) bool, now time.Time) {
	o.mu.Lock()
	var silent []*sealableConn
	for c, addr := range o.conns {
		if !c.relayed && isLost(addr) && now.UnixNano()-c.activeAt.Load() >= int64(silentAfter) {
			silent = append(silent, c)
		}
	}
	o.mu.Unlock()
	for _, c := range silent {
		_ = c.Close() // its call fails, and may go on through a peer
	}
}

// relayedBody is the body of a response over a relayed connection, which carries one exchange: its
// peer may stop at any time.
type relayedBody struct {
	io.ReadCloser
	conn *sealableConn
}

// Close closes the body and its connection.
func (b *relayedBody) Close() error {
	err := b.ReadCloser.Close()
	_ = b.conn.Close() // it carries nothing any more
	return err
}

// unframedBody is the body of a response that ends with its connection.
type unframedBody struct {
	io.ReadCloser
	request *sendTracker
}

// Read returns io.EOF only if the whole request has been written. It ends a write in progress. The
// error of a connection is reported once: if the write takes it, a read sees a plain end.
func (b *unframedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err == io.EOF && !b.request.isWritten() {
		err = io.ErrUnexpectedEOF
	}
	return n, err
}
