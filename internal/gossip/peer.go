package gossip

import (
	"context"
	"errors"
	"net"
	"net/rpc"
	"sync"
	"time"

	"github.com/hickorybank/hickorybank/internal/crashguard"
	"github.com/hickorybank/hickorybank/internal/network"
	"github.com/hickorybank/hickorybank/internal/transfer"
)

const (
	// callTimeout bounds one exchange. A connection between nodes may go silent without a
	// reset, which only a timeout detects. Messages are small, whatever the size of the
	// documents that they refer to.
	callTimeout = 700 * time.Millisecond
	// trialTimeout bounds a request for a trial, for which a caller waits.
	trialTimeout = 300 * time.Millisecond
	// pieceTimeout bounds the transfer of one piece of a document. It is five times the
	// duration over 10 Mbit/s beside another transfer and callers that use half of the
	// link.
	pieceTimeout = time.Second
	// dialTimeout bounds opening a connection to a peer.
	dialTimeout = 400 * time.Millisecond
	// service is the name of the net/rpc service.
	service = "Gossip"
)

var errTimeout = errors.New("peer did not answer in time")

// Exchanger handles the calls of peers.
type Exchanger interface {
	// Exchange merges a peer's message and returns this node's message.
	Exchange(in Message) Message
	// Flights records a report of in-flight work. It returns the sum over this failure
	// domain to another domain's leader, otherwise the sum over all nodes.
	Flights(in FlightReport) FlightReport
	// Piece returns a piece of a document.
	Piece(in transfer.Ask) transfer.Piece
	// Crashes merges a peer's report of crashes and returns this node's.
	Crashes(in crashguard.Report) crashguard.Report
	// RecordCrashes is Crashes for a report that this node writes to the table as well.
	RecordCrashes(in crashguard.Report) crashguard.Report
	// GrantTrial reports whether a peer may make a trial of a key.
	GrantTrial(in crashguard.TrialRequest) bool
}

// Server serves the calls of peers over net/rpc.
type Server struct {
	listener net.Listener
	rpc      *rpc.Server

	mu    sync.Mutex
	conns map[net.Conn]bool
}

// handler is the net/rpc service.
type handler struct{ exchanger Exchanger }

// Exchange exchanges messages with a peer.
func (h *handler) Exchange(in Message, out *Message) error {
	*out = h.exchanger.Exchange(in)
	return nil
}

// Flights takes a peer's report of in-flight work.
func (h *handler) Flights(in FlightReport, out *FlightReport) error {
	*out = h.exchanger.Flights(in)
	return nil
}

// Piece sends a piece of a document to a peer.
func (h *handler) Piece(in transfer.Ask, out *transfer.Piece) error {
	*out = h.exchanger.Piece(in)
	return nil
}

// Crashes exchanges reports of crashes with a peer.
func (h *handler) Crashes(in crashguard.Report, out *crashguard.Report) error {
	*out = h.exchanger.Crashes(in)
	return nil
}

// RecordCrashes exchanges reports of crashes with a peer and records its own.
func (h *handler) RecordCrashes(in crashguard.Report, out *crashguard.Report) error {
	*out = h.exchanger.RecordCrashes(in)
	return nil
}

// GrantTrial answers a peer that asks for a trial.
func (h *handler) GrantTrial(in crashguard.TrialRequest, out *bool) error {
	*out = h.exchanger.GrantTrial(in)
	return nil
}

// NewServer returns a server for a listener; [Server.Serve] starts it.
func NewServer(l net.Listener, exchanger Exchanger) (*Server, error) {
	s := &Server{listener: l, rpc: rpc.NewServer(), conns: map[net.Conn]bool{}}
	if err := s.rpc.RegisterName(service, &handler{exchanger}); err != nil {
		return nil, err
	}
	return s, nil
}

// Serve accepts connections until the listener is closed.
func (s *Server) Serve() {
	for {
		c, err := s.listener.Accept()
		if err != nil {
			return
		}
		s.mu.Lock()
		s.conns[c] = true
		s.mu.Unlock()
		go s.serve(c)
	}
}

func (s *Server) serve(c net.Conn) {
	s.rpc.ServeConn(c)
	s.mu.Lock()
	delete(s.conns, c)
	s.mu.Unlock()
}

// Close closes the listener and all connections.
func (s *Server) Close() {
	_ = s.listener.Close() // the node stops
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		_ = c.Close() // the node stops
	}
}

// Client calls peers and keeps a connection to each peer called recently. It is safe for
// concurrent use.
type Client struct {
	network network.Network

	mu    sync.Mutex
	conns map[string]*peerConn
}

type peerConn struct {
	rpc      *rpc.Client
	lastUsed time.Time
}

const (
	// connIdleTimeout is how long an unused connection is kept: three times the mean interval
	// between a node's contacts with distant peers.
	connIdleTimeout = 30 * time.Second
	// releasedIdleTimeout is how long a released connection is kept unused: longer than a
	// call in progress may take.
	releasedIdleTimeout = time.Second
)

// NewClient returns a client without connections.
func NewClient(n network.Network) *Client {
	return &Client{network: n, conns: map[string]*peerConn{}}
}

// Exchange sends a message to a peer and returns its response. It fails if the peer does not
// respond within 700 ms.
func (c *Client) Exchange(addr string, in Message) (Message, error) {
	return call[Message, Message](c, addr, "Exchange", in, callTimeout)
}

// Flights sends a report to a peer and returns its response. It fails if the peer does not
// respond within 700 ms.
func (c *Client) Flights(addr string, in FlightReport) (FlightReport, error) {
	return call[FlightReport, FlightReport](c, addr, "Flights", in, callTimeout)
}

// Crashes sends a report of crashes to a peer and returns its report. It fails if the peer does
// not respond within 700 ms.
func (c *Client) Crashes(addr string, in crashguard.Report) (crashguard.Report, error) {
	return call[crashguard.Report, crashguard.Report](c, addr, "Crashes", in, callTimeout)
}

// RecordCrashes sends a report of crashes to a peer that writes it to the table, and returns its
// report. It fails if the peer does not respond within 700 ms.
func (c *Client) RecordCrashes(addr string, in crashguard.Report) (crashguard.Report, error) {
	return call[crashguard.Report, crashguard.Report](c, addr, "RecordCrashes", in, callTimeout)
}

// GrantTrial asks a peer for a trial of a key. It fails if the peer does not respond within 300 ms.
func (c *Client) GrantTrial(addr string, in crashguard.TrialRequest) (bool, error) {
	return call[crashguard.TrialRequest, bool](c, addr, "GrantTrial", in, trialTimeout)
}

// Piece requests a piece of a document from a peer. It fails if the peer does not
// respond within 1 s.
func (c *Client) Piece(addr string, in transfer.Ask) (transfer.Piece, error) {
	return call[transfer.Ask, transfer.Piece](c, addr, "Piece", in, pieceTimeout)
}

// call calls a method of a peer and drops the connection on any error.
//
// After a timeout the connection may still decode the reply, so nothing else uses its memory.
func call[In, Out any](c *Client, addr, method string, in In, limit time.Duration) (Out, error) {
	var none Out
	conn, err := c.conn(addr)
	if err != nil {
		return none, err
	}
	reply := new(Out)
	call := conn.Go(service+"."+method, in, reply, make(chan *rpc.Call, 1))
	timer := time.NewTimer(limit)
	defer timer.Stop()
	select {
	case <-call.Done:
		err = call.Error
	case <-timer.C:
		err = errTimeout
	}
	if err != nil {
		c.drop(addr, conn)
		return none, err
	}
	return *reply, nil
}

func (c *Client) conn(addr string) (*rpc.Client, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	for a, p := range c.conns {
		if a != addr && now.Sub(p.lastUsed) > connIdleTimeout {
			_ = p.rpc.Close() // idle
			delete(c.conns, a)
		}
	}
	if p := c.conns[addr]; p != nil {
		p.lastUsed = now
		return p.rpc, nil
	}
	c.mu.Unlock()
	nc, err := c.dial(addr)
	c.mu.Lock()
	if err != nil {
		return nil, err
	}
	if other := c.conns[addr]; other != nil {
		// A concurrent call has stored a connection, and may be using it.
		_ = nc.Close()
		other.lastUsed = now
		return other.rpc, nil
	}
	p := &peerConn{rpc: rpc.NewClient(nc), lastUsed: now}
	c.conns[addr] = p
	return p.rpc, nil
}

// Release lets the connection to a peer be closed soon unless it is used again.
func (c *Client) Release(addr string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if p := c.conns[addr]; p != nil {
		p.lastUsed = p.lastUsed.Add(releasedIdleTimeout - connIdleTimeout)
	}
}

func (c *Client) dial(addr string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(context.Background(), dialTimeout)
	defer cancel()
	return c.network.Dial(ctx, addr)
}

func (c *Client) drop(addr string, conn *rpc.Client) {
	_ = conn.Close() // it failed
	c.mu.Lock()
	defer c.mu.Unlock()
	if p := c.conns[addr]; p != nil && p.rpc == conn {
		delete(c.conns, addr)
	}
}

// Close closes all connections.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for addr, p := range c.conns {
		_ = p.rpc.Close() // the node stops
		delete(c.conns, addr)
	}
}
