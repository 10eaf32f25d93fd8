package exchange

import (
	"bufio"
	"errors"
	"net"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/hickorybank/hickorybank/internal/httphead"
	"github.com/hickorybank/hickorybank/internal/network"
)

// conn is a connection to an upstream. It carries one exchange at a time.
type conn struct {
	net.Conn
	addr      string
	in        *bufio.Reader
	idleSince time.Time
	idleUntil time.Time
	reused    bool
	pool      *Pool
	// relayed is set if the connection passes through a peer.
	relayed bool
	// sentAt is when the current exchange began, lastRead when bytes last came, in Unix
	// nanoseconds.
	sentAt, lastRead atomic.Int64
	// linkLost is as in [Request], for the current exchange. aborted is set when that was ended
	// because the link is lost.
	linkLost atomic.Pointer[func() bool]
	aborted  atomic.Bool
	// headLeft is how many more bytes the head that is being read may have; negative without a
	// bound.
	headLeft int
	// checker checks what is read of a response. malformed is set once that breaks the grammar.
	checker   httphead.Checker
	malformed error
}

var errHeadTooLong = errors.New("response head is longer than " + strconv.Itoa(maxHeadBytes) + " bytes")

// boundHead bounds what is read until unboundHead is called.
func (c *conn) boundHead() { c.headLeft = maxHeadBytes }

// checkResponse checks the response that begins with the next byte. bodyless is set for responses to HEAD
// requests.
func (c *conn) checkResponse(bodyless bool) {
	c.checker.Begin(bodyless)
	buffered, _ := c.in.Peek(c.in.Buffered()) // never more than there is
	c.malformed = c.checker.Feed(buffered)
}

func (c *conn) unboundHead() { c.headLeft = -1 }

// isHealthy reports whether an idle connection may carry another request.
//
// It detects a connection that the upstream has closed, or on which it has sent
// unsolicited bytes: both make the idle connection readable. The check sees only what
// the kernel has received, not what is still in transit. A request that is not
// idempotent therefore also requires a recently used connection ([Request.MaxIdle]).
func (c *conn) isHealthy() bool {
	if c.in.Buffered() > 0 {
		return false
	}
	return network.IsQuiet(c.Conn)
}

// Read reads from the connection and records when bytes came.
func (c *conn) Read(p []byte) (int, error) {
	if c.headLeft == 0 {
		return 0, errHeadTooLong
	}
	if c.headLeft > 0 {
		p = p[:min(len(p), c.headLeft)]
	}
	n, err := c.Conn.Read(p)
	if c.headLeft > 0 {
		c.headLeft -= n
	}
	if c.malformed == nil {
		c.malformed = c.checker.Feed(p[:n])
	}
	if c.malformed != nil {
		return 0, c.malformed
	}
	if n > 0 && !c.relayed {
		now := time.Now()
		c.lastRead.Store(now.UnixNano())
		c.pool.noteAlive(now)
	}
	return n, err
}

// begin marks the start of an exchange.
func (c *conn) begin(linkLost func() bool) {
	c.linkLost.Store(&linkLost)
	c.sentAt.Store(time.Now().UnixNano())
}

// silentSince returns since when the upstream has owed bytes.
func (c *conn) silentSince() time.Time { return time.Unix(0, max(c.sentAt.Load(), c.lastRead.Load())) }

// abort closes the connection because its link is lost.
func (c *conn) abort() {
	c.aborted.Store(true)
	_ = c.Conn.Close() // the exchange fails with LinkLost
}
