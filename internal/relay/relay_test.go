package relay

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/goleak"

	"github.com/hickorybank/hickorybank/internal/network"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// testNode is a node with a dialer and a carrier.
type testNode struct {
	self    Identity
	addr    string
	dialer  *Dialer
	carrier *Carrier
	links   *testLinks
	// known are the upstreams in the node's list.
	known map[string]bool

	mu       sync.Mutex
	others   []*testNode
	answered []Outcome
	losses   []Loss
	opened   int
}

// startNodes starts nodes that know each other and have the upstreams in their lists.
func startNodes(t *testing.T, count int, upstreams ...string) []*testNode {
	t.Helper()
	var nodes []*testNode
	for i := range count {
		l, err := net.Listen("tcp4", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		n := &testNode{self: Identity{fmt.Sprintf("node-%d", i), int64(i + 1)}, addr: l.Addr().String(), links: &testLinks{}, known: map[string]bool{}}
		for _, addr := range upstreams {
			n.known[addr] = true
		}
		n.dialer = New(Settings{Self: n.self, MaxCarried: 2}, n.links, &network.OS{}, n, n)
		n.carrier = n.dialer.Carrier(n)
		nodes = append(nodes, n)
		acceptAll(t, Split(l, n.carrier), func(c net.Conn) { _, _ = io.Copy(io.Discard, c) }) // serves relayed connections
	}
	for _, n := range nodes {
		for _, other := range nodes {
			if other != n {
				n.others = append(n.others, other)
			}
		}
	}
	return nodes
}

// acceptAll serves each connection of a listener until the test ends.
func acceptAll(t *testing.T, l net.Listener, serve func(c net.Conn)) {
	var conns sync.WaitGroup
	conns.Go(func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			conns.Go(func() {
				serve(c)
				_ = c.Close() // the test may have closed it
			})
		}
	})
	t.Cleanup(func() {
		_ = l.Close() // the test ends
		conns.Wait()
	})
}

// startEcho starts an upstream that returns the bytes that it gets, and closes its connection
// at the first newline.
func startEcho(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	acceptAll(t, l, func(c net.Conn) {
		var b [1]byte
		for {
			if _, err := c.Read(b[:]); err != nil {
				return
			}
			if _, err := c.Write(b[:]); err != nil || b[0] == '\n' {
				return
			}
		}
	})
	return l.Addr().String()
}

// closedAddr returns an address at which nothing listens.
func closedAddr(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }() // only its address is needed
	return l.Addr().String()
}

// testLinks are a node's own links: they work, refuse or do not answer.
type testLinks struct {
	mu       sync.Mutex
	loss     error
	attempts int
}

// errUnanswered makes links give no answer.
var errUnanswered = errors.New("unanswered")

func (l *testLinks) lose(err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.loss = err
}

func (l *testLinks) count() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.attempts
}

// Dial implements direct.
func (l *testLinks) Dial(ctx context.Context, addr string) (net.Conn, error) {
	l.mu.Lock()
	l.attempts++
	loss := l.loss
	l.mu.Unlock()
	switch loss {
	case nil:
		return (&net.Dialer{}).DialContext(ctx, "tcp4", addr)
	case errUnanswered:
		<-ctx.Done()
		return nil, &net.OpError{Op: "dial", Err: ctx.Err()}
	}
	return nil, &net.OpError{Op: "dial", Err: loss}
}

func (n *testNode) Pick(count int, avoid func(id string) bool) (picked []Peer) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, other := range n.others {
		if len(picked) < count && !avoid(other.self.ID) {
			picked = append(picked, Peer{other.self.ID, other.addr})
		}
	}
	return picked
}

func (n *testNode) IsPeer(process Identity, ip string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, other := range n.others {
		if other.self == process {
			return ip == "127.0.0.1"
		}
	}
	return false
}

func (n *testNode) IsUpstream(addr string) bool { return n.known[addr] }

func (n *testNode) LinkLost(l Loss) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.losses = append(n.losses, l)
}

func (n *testNode) LinkBack(string, time.Duration, bool) {}

func (n *testNode) Opened(_ string, c net.Conn) {
	_ = c.Close() // only counted
	n.mu.Lock()
	defer n.mu.Unlock()
	n.opened++
}

func (n *testNode) Asked(Outcome) {}

func (n *testNode) Answered(_ Identity, _ string, o Outcome) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.answered = append(n.answered, o)
}

func (n *testNode) Passed(int) {}

// lastAnswer returns the carrier's latest answer; empty if it was not asked.
func (n *testNode) lastAnswer() Outcome {
	n.mu.Lock()
	defer n.mu.Unlock()
	if len(n.answered) == 0 {
		return ""
	}
	return n.answered[len(n.answered)-1]
}

// eventually waits for a condition.
func eventually(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if condition() {
			return
		}
	}
	t.Fatalf("condition not met: %s", what)
}

// dial connects to an upstream, and closes the connection when the test ends.
func (n *testNode) dial(t *testing.T, addr string) (net.Conn, error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	c, err := n.dialer.Dial(ctx, addr)
	if err == nil {
		t.Cleanup(func() { _ = c.Close() }) // the test may have closed it
	}
	return c, err
}

// Fails if an upstream is out of reach although a peer reaches it.
func TestPeerOpensConnectionOverLostLink(t *testing.T) {
	for name, loss := range map[string]error{"unanswered": errUnanswered, "refused": syscall.ECONNREFUSED} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			addr := startEcho(t)
			nodes := startNodes(t, 2, addr)
			nodes[0].links.lose(loss)
			c, err := nodes[0].dial(t, addr)
			is.NoErr(err)
			_, err = c.Write([]byte("ping\n"))
			is.NoErr(err)
			data, err := io.ReadAll(c)
			is.NoErr(err) // the upstream has closed the connection
			is.Equal(string(data), "ping\n")
			eventually(t, "the link is known to be lost", func() bool { return nodes[0].dialer.IsLost(addr) })
		})
	}
}

// Fails if the end of a peer looks like the end of the upstream's answer.
func TestEndOfPeerIsNotEndOfAnswer(t *testing.T) {
	is := is.New(t)
	addr := startEcho(t)
	nodes := startNodes(t, 2, addr)
	nodes[0].links.lose(syscall.ECONNREFUSED)
	c, err := nodes[0].dial(t, addr)
	is.NoErr(err)
	_, err = c.Write([]byte("part"))
	is.NoErr(err)
	part := make([]byte, 4)
	_, err = io.ReadFull(c, part)
	is.NoErr(err)
	inner := c.(*Conn).Conn.(*net.TCPConn)
	is.NoErr(inner.CloseRead()) // as if the peer had closed its connection
	_, err = c.Read(part)
	is.Equal(err, io.ErrUnexpectedEOF)
}

// Fails if an upstream keeps working for a node that has closed its relayed connection.
func TestCloseOfRelayedConnectionReachesUpstream(t *testing.T) {
	is := is.New(t)
	closed := make(chan struct{})
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	is.NoErr(err)
	acceptAll(t, l, func(c net.Conn) {
		_, _ = io.Copy(io.Discard, c) // until the connection is closed
		close(closed)
	})
	nodes := startNodes(t, 2, l.Addr().String())
	nodes[0].links.lose(syscall.ECONNREFUSED)
	c, err := nodes[0].dial(t, l.Addr().String())
	is.NoErr(err)
	is.NoErr(c.Close())
	<-closed
	eventually(t, "the carrier carries nothing", func() bool { return nodes[1].carrier.Carried() == 0 })
}

// Fails if a node can be used to reach anything but upstreams in its list.
func TestOnlyListedUpstreamsAreReachable(t *testing.T) {
	is := is.New(t)
	inside, addr := startEcho(t), startEcho(t)
	nodes := startNodes(t, 2, addr)
	nodes[0].links.lose(syscall.ECONNREFUSED)
	for _, other := range []string{inside, nodes[1].addr, "127.0.0.1:1", "no address"} {
		_, err := nodes[0].dial(t, other)
		is.True(err != nil) // nothing else is reachable
		is.Equal(nodes[1].lastAnswer(), UnknownUpstream)
	}
	is.Equal(nodes[1].links.count(), 0) // nothing was dialled
}

// Fails if a process that is no node of the deployment can open connections through one.
func TestOnlyNodesMayAskForConnections(t *testing.T) {
	is := is.New(t)
	addr := startEcho(t)
	nodes := startNodes(t, 2, addr)
	for _, stranger := range []Identity{{"stranger", 1}, {"node-0", 99}, {}} {
		c := client{self: stranger, peers: nodes[0], via: &network.OS{}, avoided: map[string]avoidance{}}
		conn, outcome := c.connect(context.Background(), addr)
		is.Equal(conn, nil)
		is.Equal(outcome, UnknownNode)
	}
	is.Equal(nodes[1].links.count(), 0) // nothing was dialled
}

// Fails if malformed requests for connections harm a node or are answered.
func TestMalformedRequestsAreClosed(t *testing.T) {
	is := is.New(t)
	nodes := startNodes(t, 2)
	for _, text := range []string{"\x00", "\x00\x02\x00\x02{}", "\x00\x01\xff\xffxx", "\x00\x01\x00\x03abc"} {
		c, err := net.Dial("tcp4", nodes[1].addr)
		is.NoErr(err)
		_, err = c.Write([]byte(text))
		is.NoErr(err)
		_ = c.(*net.TCPConn).CloseWrite() // the node may have closed the connection already
		data, _ := io.ReadAll(c)          // as above
		is.Equal(len(data), 0)            // no answer
		_ = c.Close()                     // the node has closed it
	}
}

// Fails if a peer without links passes a request on, or is taken as evidence against the upstream.
func TestPeerWithoutLinksIsNoEvidence(t *testing.T) {
	is := is.New(t)
	addr := startEcho(t)
	nodes := startNodes(t, 3, addr)
	nodes[0].links.lose(errUnanswered)
	nodes[1].links.lose(errUnanswered)
	c, err := nodes[0].dial(t, addr)
	is.NoErr(err) // through the third node
	is.Equal(c.(*Conn).Peer, "node-2")
	is.Equal(nodes[1].lastAnswer(), LinkDoubtful)
}

// Fails if an upstream that is down is dialled by many peers, or again and again.
func TestUpstreamThatIsDownIsDialledByFewPeers(t *testing.T) {
	is := is.New(t)
	addr := closedAddr(t)
	nodes := startNodes(t, 4, addr)
	for range 5 {
		_, err := nodes[0].dial(t, addr)
		var failure *Error
		is.True(errors.As(err, &failure))
		is.Equal(failure.LinkLost(), false) // it is the upstream's fault
	}
	is.Equal(nodes[0].dialer.IsLost(addr), false)
	is.Equal(nodes[1].links.count()+nodes[2].links.count()+nodes[3].links.count(), maxOpinions)
}

// Fails if a node without links and without peers waits at each attempt.
func TestNodeWithoutLinksAndPeersFailsAtOnce(t *testing.T) {
	is := is.New(t)
	nodes := startNodes(t, 1)
	nodes[0].links.lose(errUnanswered)
	for i := range minLostPaths {
		_, err := nodes[0].dial(t, fmt.Sprintf("127.0.0.1:%d", i+1))
		is.True(err != nil)
	}
	before := nodes[0].links.count()
	for range 20 {
		_, err := nodes[0].dial(t, "127.0.0.1:9")
		var failure *Error
		is.True(errors.As(err, &failure))
		is.True(failure.LinkLost())
	}
	is.True(nodes[0].links.count()-before <= 20) // probes only
}

// Fails if a node carries more for others than its bound.
func TestCarriedConnectionsAreBounded(t *testing.T) {
	is := is.New(t)
	addr := startEcho(t)
	nodes := startNodes(t, 2, addr)
	nodes[0].links.lose(syscall.ECONNREFUSED)
	for range 2 {
		_, err := nodes[0].dial(t, addr)
		is.NoErr(err)
	}
	_, err := nodes[0].dial(t, addr)
	var failure *Error
	is.True(errors.As(err, &failure))
	is.True(failure.LinkLost()) // nothing is held against the upstream
	is.Equal(failure.Peer, Busy)
}

// Fails if a planned stop cuts off connections that are carried for others.
func TestStoppingCarrierFinishesItsConnections(t *testing.T) {
	is := is.New(t)
	addr := startEcho(t)
	nodes := startNodes(t, 2, addr)
	nodes[0].links.lose(syscall.ECONNREFUSED)
	c, err := nodes[0].dial(t, addr)
	is.NoErr(err)
	nodes[1].carrier.Stop()
	_, err = nodes[0].dial(t, addr)
	is.True(err != nil) // it takes no new ones
	is.Equal(nodes[1].lastAnswer(), Stopping)
	_, err = c.Write([]byte("late\n"))
	is.NoErr(err)
	data, err := io.ReadAll(c)
	is.NoErr(err)
	is.Equal(string(data), "late\n")
	is.NoErr(c.Close())
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	nodes[1].carrier.Wait(ctx)
	is.NoErr(ctx.Err())
}

// Fails if a node stays on the way through peers after its link works again.
func TestLinkThatWorksAgainIsUsed(t *testing.T) {
	is := is.New(t)
	addr := startEcho(t)
	nodes := startNodes(t, 2, addr)
	nodes[0].links.lose(syscall.ECONNREFUSED)
	c, err := nodes[0].dial(t, addr)
	is.NoErr(err)
	is.NoErr(c.Close())
	is.True(nodes[0].dialer.IsLost(addr))
	nodes[0].links.lose(nil)
	eventually(t, "the direct way is used", func() bool {
		if nodes[1].carrier.Carried() > 0 {
			return false // the peer has yet to see that the last connection is closed
		}
		c, err := nodes[0].dial(t, addr)
		is.NoErr(err)
		_, relayed := c.(*Conn)
		is.NoErr(c.Close())
		return !relayed
	})
	is.Equal(nodes[0].dialer.LostLinks(), 0)
}

// Fails if a refusal on a lost link counts as a crash of the upstream.
func TestRefusalOnLostLinkIsNoCrash(t *testing.T) {
	is := is.New(t)
	addr, closed := startEcho(t), closedAddr(t)
	nodes := startNodes(t, 2, addr, closed)
	is.True(nodes[0].dialer.IsRefused(context.Background(), closed))
	nodes[0].links.lose(syscall.ECONNREFUSED)
	is.Equal(nodes[0].dialer.IsRefused(context.Background(), addr), false)
}
