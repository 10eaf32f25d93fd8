package relay

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/hickorybank/hickorybank/internal/network"
)

// client asks peers for connections.
type client struct {
	self  Identity
	peers Peers
	via   connector

	mu sync.Mutex
	// avoided holds peers that could not help a moment ago.
	avoided map[string]avoidance
}

// avoidance is the time until which a peer is left out. One that is not excluded is asked if
// there is no other.
type avoidance struct {
	until    time.Time
	excluded bool
}

// pick returns the peers to ask.
func (c *client) pick() []Peer {
	if picked := c.peers.Pick(maxPeers, func(id string) bool { return c.isAvoided(id, false) }); len(picked) > 0 {
		return picked
	}
	return c.peers.Pick(maxPeers, func(id string) bool { return c.isAvoided(id, true) })
}

// connect connects to an upstream through a peer. Another peer is asked if one has not tried the
// upstream, and for a second opinion if one has not reached it: that peer may have lost the same
// link.
func (c *client) connect(ctx context.Context, addr string) (*Conn, Outcome) {
	var last, verdict Outcome
	opinions := 0
	for _, p := range c.pick() {
		conn, outcome := c.ask(ctx, p, addr)
		if conn != nil || ctx.Err() != nil {
			return conn, outcome
		}
		last = outcome
		if outcome.excludesPeer() || outcome.deprefersPeer() {
			c.avoid(p.ID, outcome.excludesPeer())
		}
		if outcome.isVerdict() {
			verdict = outcome
			opinions++
		}
		if opinions == maxOpinions {
			break
		}
	}
	if verdict != "" {
		return nil, verdict
	}
	return nil, last
}

// ask asks one peer for a connection.
func (c *client) ask(ctx context.Context, p Peer, addr string) (*Conn, Outcome) {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout+carryTimeout)
	defer cancel()
	conn, err := c.dial(ctx, p.Addr)
	if err != nil {
		return nil, Unreachable
	}
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	outcome := c.handshake(conn, addr)
	if !stop() {
		outcome = Unreachable // ctx has ended and closed the connection
	}
	if outcome != Connected {
		_ = conn.Close() // it carries nothing
		return nil, outcome
	}
	return &Conn{Conn: conn, Peer: p.ID}, Connected
}

// dial connects to a peer.
func (c *client) dial(ctx context.Context, addr string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	conn, err := c.via.Dial(ctx, addr)
	if err != nil {
		return nil, err
	}
	if err := network.DetectSilence(conn, silentTimeout); err != nil {
		_ = conn.Close() // the error of the socket option is returned
		return nil, err
	}
	return conn, nil
}

// handshake sends the request and reads its answer.
func (c *client) handshake(conn net.Conn, addr string) Outcome {
	req := append([]byte{prefaceMark, prefaceVersion}, encodeMessage(connectRequest{From: c.self, To: addr, TimeoutMs: carryTimeout.Milliseconds()})...)
	if _, err := conn.Write(req); err != nil {
		return Unreachable
	}
	var answer connectAnswer
	if err := readMessage(conn, &answer); err != nil {
		return Unreachable
	}
	return answer.Outcome
}

// isAvoided reports whether a peer is left out now; with excludedOnly only if it can't help.
func (c *client) isAvoided(id string, excludedOnly bool) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	a, known := c.avoided[id]
	return known && time.Now().Before(a.until) && (a.excluded || !excludedOnly)
}

// avoid leaves a peer out for a while.
func (c *client) avoid(id string, excluded bool) {
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	for known, a := range c.avoided {
		if now.After(a.until) {
			delete(c.avoided, known)
		}
	}
	c.avoided[id] = avoidance{now.Add(avoidFor), excluded}
}
