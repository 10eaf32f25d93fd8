package relay

import (
	"context"
	"encoding/binary"
	"errors"
	"io"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/hickorybank/hickorybank/internal/network"
)

// Carrier opens connections to upstreams for other nodes, and passes their bytes on. It is
// safe for concurrent use.
type Carrier struct {
	settings Settings
	peers    Peers
	paths    *paths
	direct   connector
	observer CarrierObserver

	mu       sync.Mutex
	carried  int
	stopping bool
	// idle is closed when the carrier is stopping and carries nothing.
	idle chan struct{}
}

// connector opens connections.
type connector interface {
	// Dial connects to a host and port. ctx bounds the connection set-up only.
	Dial(ctx context.Context, addr string) (net.Conn, error)
}

// CarrierObserver receives the events of a carrier. Its methods are called concurrently.
type CarrierObserver interface {
	// Answered reports the answer to a process that asked for a connection.
	Answered(from Identity, addr string, o Outcome)
	// Passed reports that bytes were passed on, in both directions.
	Passed(bytes int)
}

const (
	// requestTimeout bounds the reading of a request.
	requestTimeout = time.Second
	// closeTimeout is how long the node may take to read the end of an answer.
	closeTimeout = time.Second
	// carryBufferBytes is the size of the buffer of each direction of a carried connection.
	carryBufferBytes = 8 << 10
	frameHeadBytes   = 2
)

// Carrier returns the carrier of the same node: it connects as the dialer does directly, and
// shares what the dialer knows of the node's links.
func (d *Dialer) Carrier(o CarrierObserver) *Carrier {
	return &Carrier{settings: d.settings, peers: d.peers, paths: d.paths, direct: d.direct, observer: o, idle: make(chan struct{})}
}

// Carried returns the number of connections that are carried now.
func (c *Carrier) Carried() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.carried
}

// Stop refuses further connections.
func (c *Carrier) Stop() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.stopping {
		return
	}
	c.stopping = true
	if c.carried == 0 {
		close(c.idle)
	}
}

// Wait waits until a stopped carrier carries nothing any more, or ctx ends.
func (c *Carrier) Wait(ctx context.Context) {
	select {
	case <-c.idle:
	case <-ctx.Done():
	}
}

// serve serves a connection whose first byte of a request has been read.
func (c *Carrier) serve(node net.Conn) {
	defer func() { _ = node.Close() }() // the node may have closed it
	if err := network.DetectSilence(node, silentTimeout); err != nil {
		return
	}
	if err := node.SetDeadline(time.Now().Add(requestTimeout)); err != nil {
		return
	}
	var version [1]byte
	if _, err := io.ReadFull(node, version[:]); err != nil || version[0] != prefaceVersion {
		return
	}
	var req connectRequest
	if err := readMessage(node, &req); err != nil {
		return
	}
	upstream, outcome := c.open(req, node.RemoteAddr())
	c.observer.Answered(req.From, req.To, outcome)
	if upstream != nil {
		defer c.release()
		defer func() { _ = upstream.Close() }() // the upstream may have closed it
	}
	if _, err := node.Write(encodeMessage(connectAnswer{outcome})); err != nil || upstream == nil {
		return
	}
	if err := node.SetDeadline(time.Time{}); err != nil {
		return
	}
	c.pass(node, upstream)
}

// open checks a request and connects to its upstream. A connection has to be released.
func (c *Carrier) open(req connectRequest, from net.Addr) (net.Conn, Outcome) {
	ip, _, err := net.SplitHostPort(from.String())
	switch {
	case err != nil || !c.peers.IsPeer(req.From, ip):
		return nil, UnknownNode
	case !c.peers.IsUpstream(req.To):
		return nil, UnknownUpstream
	case c.paths.allLost():
		return nil, AllLinksLost
	case c.paths.isLost(req.To, time.Now()):
		return nil, LinkLost
	}
	if outcome := c.reserve(); outcome != Connected {
		return nil, outcome
	}
	limit := min(time.Duration(req.TimeoutMs)*time.Millisecond, connectTimeout)
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	upstream, err := c.direct.Dial(ctx, req.To)
	if err != nil {
		c.release()
		c.paths.noteFailed(req.To)
		refused := errors.Is(err, syscall.ECONNREFUSED)
		switch {
		case !c.paths.isWitness(refused, time.Now()):
			return nil, LinkDoubtful
		case refused:
			return nil, Refused
		}
		return nil, Unanswered
	}
	c.paths.noteConnected(req.To, time.Now())
	return upstream, Connected
}

// reserve counts a connection, if another one may be carried.
func (c *Carrier) reserve() Outcome {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.stopping:
		return Stopping
	case c.carried >= c.settings.MaxCarried:
		return Busy
	}
	c.carried++
	return Connected
}

func (c *Carrier) release() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.carried--
	if c.stopping && c.carried == 0 {
		close(c.idle)
	}
}

// buffers holds buffers of carried connections.
var buffers = sync.Pool{New: func() any { return new([frameHeadBytes + carryBufferBytes]byte) }}

// pass passes bytes on until either end closes its connection.
func (c *Carrier) pass(node, conn net.Conn) {
	upstream := network.WatchWrites(conn)
	toUpstream := make(chan struct{})
	go func() {
		defer close(toUpstream)
		c.passRequest(upstream, node)
		// The node has closed the connection, so the upstream may stop its work.
		_ = upstream.Close()
	}()
	if c.passResponse(node, upstream) {
		_ = node.SetReadDeadline(time.Now().Add(closeTimeout)) // until the node has read the end
	} else {
		_ = node.Close() // without an end the response counts as broken off
	}
	<-toUpstream
}

// passRequest passes the node's bytes on until it closes the connection.
func (c *Carrier) passRequest(upstream, node net.Conn) {
	buf := buffers.Get().(*[frameHeadBytes + carryBufferBytes]byte)
	defer buffers.Put(buf)
	for {
		n, err := node.Read(buf[:])
		if n > 0 {
			c.observer.Passed(n)
			if _, err := upstream.Write(buf[:n]); err != nil {
				// The response may have come before the end of the request.
				_, _ = io.Copy(io.Discard, node)
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// passResponse passes the upstream's bytes on in frames. It returns true if the upstream has
// closed its connection properly and the end has been passed on. An end while a part of the request is
// still to be passed on is not proper: a response without a length would look complete.
func (c *Carrier) passResponse(node net.Conn, upstream *network.WatchedConn) bool {
	buf := buffers.Get().(*[frameHeadBytes + carryBufferBytes]byte)
	defer buffers.Put(buf)
	for {
		n, err := upstream.Read(buf[frameHeadBytes:])
		if n > 0 {
			c.observer.Passed(n)
			binary.BigEndian.PutUint16(buf[:], uint16(n))
			if _, err := node.Write(buf[:frameHeadBytes+n]); err != nil {
				return false
			}
		}
		if err == io.EOF && (upstream.WriteFailed() || network.HasUnread(node)) {
			return false
		}
		if err == io.EOF {
			binary.BigEndian.PutUint16(buf[:], 0)
			_, err := node.Write(buf[:frameHeadBytes])
			return err == nil
		}
		if err != nil {
			return false
		}
	}
}
