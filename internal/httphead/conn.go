package httphead

import (
	"net"
	"sync"
)

// Conn is a connection whose reads fail at the first byte that breaks the grammar of a response.
type Conn struct {
	net.Conn

	mu      sync.Mutex
	checker Checker
}

// NewConn returns a connection that checks nothing until Begin is called.
func NewConn(c net.Conn) *Conn { return &Conn{Conn: c} }

// Begin starts a response, before its request is written. bodyless is set for responses to HEAD requests.
func (c *Conn) Begin(bodyless bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.checker.Begin(bodyless)
}

// Read implements [net.Conn]. The error is an [*Error] if the bytes break the grammar.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n == 0 {
		return n, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if wrong := c.checker.Feed(p[:n]); wrong != nil {
		return 0, wrong
	}
	return n, err
}
