package relay

import (
	"context"
	"errors"
	"net"
	"syscall"
	"time"
)

// Dialer connects to upstreams, directly or through a peer. It is safe for concurrent use.
type Dialer struct {
	settings Settings
	peers    Peers
	direct   connector
	client   *client
	paths    *paths
	observer Observer
}

// Observer receives the changes of the node's links. Its methods are called concurrently.
type Observer interface {
	// LinkLost reports that the direct link to an upstream is lost.
	LinkLost(l Loss)
	// LinkBack reports that an upstream is reached directly again; all is set if all links had
	// been lost.
	LinkBack(addr string, lostFor time.Duration, all bool)
	// Opened takes over a direct connection that is open but not needed any more.
	Opened(addr string, c net.Conn)
	// Asked counts the outcome of a connection through peers.
	Asked(o Outcome)
}

// New returns a dialer. direct connects from this host, via to other nodes.
func New(s Settings, direct, via connector, peers Peers, o Observer) *Dialer {
	return &Dialer{
		settings: s.withDefaults(), peers: peers, direct: direct, paths: newPaths(), observer: o,
		client: &client{self: s.Self, peers: peers, via: via, avoided: map[string]avoidance{}},
	}
}

// NoteAlive records that an upstream has sent bytes on a direct connection.
func (d *Dialer) NoteAlive(now time.Time) { d.paths.noteAlive(now) }

// CheckSilent checks the links to upstreams that owe bytes and have been silent for a moment on
// all connections. While no link is lost, only a few are checked: most silent upstreams are
// busy.
func (d *Dialer) CheckSilent(addrs []string) {
	for _, addr := range addrs {
		if d.paths.mayCheck(addr, time.Now()) {
			go func() {
				ctx, cancel := context.WithTimeout(context.Background(), connectTimeout)
				defer cancel()
				d.check(ctx, addr)
			}()
		}
	}
}

// UnansweredLinks returns the upstreams whose direct connections get no answer although a peer
// reaches them, and whether all links count as lost.
func (d *Dialer) UnansweredLinks() (addrs []string, all bool) { return d.paths.unanswered() }

// IsLost reports whether the direct link to an upstream is lost.
func (d *Dialer) IsLost(addr string) bool { return d.paths.isLost(addr, time.Now()) }

// LostLinks returns the number of upstreams whose direct links are lost.
func (d *Dialer) LostLinks() int { return d.paths.lost() }

// check connects to an upstream to learn whether its link is lost. A direct connection is given
// to the observer.
func (d *Dialer) check(ctx context.Context, addr string) {
	c, err := d.Dial(ctx, addr)
	if err != nil {
		return
	}
	if _, relayed := c.(*Conn); relayed {
		_ = c.Close() // it has shown that the upstream is reached
		return
	}
	d.observer.Opened(addr, c)
}

// Dial connects to an upstream. The error is an [*Error].
func (d *Dialer) Dial(ctx context.Context, addr string) (net.Conn, error) {
	p := d.paths.plan(addr, time.Now())
	r := &race{dialer: d, addr: addr, plan: p, direct: make(chan directResult, 1), relay: make(chan relayResult, 1)}
	return r.run(ctx)
}

// IsRefused reports whether nothing listens at an upstream's address: it refuses this node's
// connection, and a peer's if one can be asked.
func (d *Dialer) IsRefused(ctx context.Context, addr string) bool {
	c, err := d.direct.Dial(ctx, addr)
	if err == nil {
		d.noteConnected(addr)
		_ = c.Close() // it only shows that the upstream listens
		return false
	}
	if !errors.Is(err, syscall.ECONNREFUSED) {
		return false
	}
	relayed, outcome := d.client.connect(ctx, addr)
	if relayed != nil {
		_ = relayed.Close() // as above
		return false
	}
	return outcome != Unanswered
}

func (d *Dialer) noteConnected(addr string) {
	if lostFor, all := d.paths.noteConnected(addr, time.Now()); lostFor > 0 {
		d.observer.LinkBack(addr, lostFor, all)
	}
}

func (d *Dialer) noteLost(addr, peer string, began time.Time, unanswered bool) {
	first, all := d.paths.noteLost(addr, began, unanswered, peer != "", time.Now())
	if first || all {
		d.observer.LinkLost(Loss{Addr: addr, Peer: peer, Unanswered: unanswered, All: all})
	}
}
