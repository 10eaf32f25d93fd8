package gossip

import (
	"context"
	"errors"
	"net"
	"net/rpc"
	"sync"
	"time"

	"github.com/hickorybank/hickorybank/internal/network"
	"github.com/hickorybank/hickorybank/internal/transfer"
)

const (
	// callTimeout bounds one exchange. Connections between nodes may fall
	// silent without a reset; only a time-out shows it. What is exchanged is small
	// whatever the size of the documents that it speaks of.
	callTimeout = 700 * time.Millisecond
	// pieceTimeout bounds the transfer of one piece of a document: five times what
	// one takes over 10 Mbit/s beside another transfer and callers that fill half of
	// the link.
	pieceTimeout = time.Second
	// dialTimeout bounds the opening of a connection to a peer.
	dialTimeout = 400 * time.Millisecond
	// service is the name of the net/rpc service.
	service = "Gossip"
)

var errTimeout = errors.New("peer did not answer in time")

// Exchanger answers a peer's message with this node's own.
type Exchanger interface {
	Exchange(in Message) Message
	// Flights takes a report; it returns the sum over all groups to a member,
	// and over this node's group to another group's reader.
	Flights(in FlightReport) FlightReport
	// Piece answers a peer that asks for a newer configuration.
	Piece(in transfer.Ask) transfer.Piece
}

// Server answers peers.
type Server struct {
	listener net.Listener
	rpc      *rpc.Server

	mu    sync.Mutex
	conns map[net.Conn]bool
}

// handler is the net/rpc service.
type handler struct{ to Exchanger }

// Exchange is the method that peers call.
func (h *handler) Exchange(in Message, out *Message) error {
	*out = h.to.Exchange(in)
	return nil
}

// Flights is the method by which peers report what they have under way.
func (h *handler) Flights(in FlightReport, out *FlightReport) error {
	*out = h.to.Flights(in)
	return nil
}

// Piece is the method by which peers take a newer configuration.
func (h *handler) Piece(in transfer.Ask, out *transfer.Piece) error {
	*out = h.to.Piece(in)
	return nil
}

// NewServer serves peers on a listener.
func NewServer(l net.Listener, to Exchanger) (*Server, error) {
	s := &Server{listener: l, rpc: rpc.NewServer(), conns: map[net.Conn]bool{}}
	if err := s.rpc.RegisterName(service, &handler{to}); err != nil {
		return nil, err
	}
	return s, nil
}

// Serve accepts peers until the listener is closed.
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

// Close stops serving.
func (s *Server) Close() {
	_ = s.listener.Close() // the node stops
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		_ = c.Close() // the node stops
	}
}

// Client calls peers and keeps a connection to each that it has called lately.
type Client struct {
	network network.Network

	mu    sync.Mutex
	conns map[string]*peerConn
}

type peerConn struct {
	rpc  *rpc.Client
	used time.Time
}

const (
	// keepConn is how long an unused connection to a peer is kept: three times as long
	// as a node's far contacts are apart in the mean.
	keepConn = 30 * time.Second
)

// NewClient returns a client without connections.
func NewClient(n network.Network) *Client {
	return &Client{network: n, conns: map[string]*peerConn{}}
}

// Exchange sends a message to a peer and returns its answer.
func (c *Client) Exchange(addr string, in Message) (Message, error) {
	return call[Message, Message](c, addr, "Exchange", in, callTimeout)
}

// Flights sends a report to a peer and returns its answer.
func (c *Client) Flights(addr string, in FlightReport) (FlightReport, error) {
	return call[FlightReport, FlightReport](c, addr, "Flights", in, callTimeout)
}

// Piece asks a peer for a piece of a newer configuration.
func (c *Client) Piece(addr string, in transfer.Ask) (transfer.Piece, error) {
	return call[transfer.Ask, transfer.Piece](c, addr, "Piece", in, pieceTimeout)
}

// call calls a method of a peer.
func call[In, Out any](c *Client, addr, method string, in In, limit time.Duration) (out Out, err error) {
	conn, err := c.conn(addr)
	if err != nil {
		return out, err
	}
	call := conn.Go(service+"."+method, in, &out, make(chan *rpc.Call, 1))
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
		return *new(Out), err
	}
	return out, nil
}

func (c *Client) conn(addr string) (*rpc.Client, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	for a, p := range c.conns {
		if a != addr && now.Sub(p.used) > keepConn {
			_ = p.rpc.Close() // unused
			delete(c.conns, a)
		}
	}
	if p := c.conns[addr]; p != nil {
		p.used = now
		return p.rpc, nil
	}
	c.mu.Unlock()
	nc, err := c.dial(addr)
	c.mu.Lock()
	if err != nil {
		return nil, err
	}
	if other := c.conns[addr]; other != nil {
		// Another call was faster; it may be under way on its connection.
		_ = nc.Close()
		other.used = now
		return other.rpc, nil
	}
	p := &peerConn{rpc: rpc.NewClient(nc), used: now}
	c.conns[addr] = p
	return p.rpc, nil
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
