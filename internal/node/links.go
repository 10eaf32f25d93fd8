package node

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/hickorybank/hickorybank/internal/event"
	"github.com/hickorybank/hickorybank/internal/membership"
	"github.com/hickorybank/hickorybank/internal/platform"
	"github.com/hickorybank/hickorybank/internal/relay"
	upstreamclient "github.com/hickorybank/hickorybank/internal/upstream/client"
)

// Links are a node's ways to upstreams: its own connections and those through peers. The clients
// of upstreams dial through it, before the node is built with it as well as after.
type Links struct {
	direct upstreamclient.Dialer

	// refusedLog bounds the log lines of connections that were not opened for peers.
	refusedLog logLimiter

	mu     sync.Mutex
	node   *Node
	dialer *relay.Dialer
}

// NewLinks returns links whose own connections are opened by a dialer.
func NewLinks(direct upstreamclient.Dialer) *Links { return &Links{direct: direct} }

// Dial connects to an upstream, directly or through a peer.
func (l *Links) Dial(ctx context.Context, addr string) (net.Conn, error) {
	if d := l.attached(); d != nil {
		return d.Dial(ctx, addr)
	}
	return l.direct.Dial(ctx, addr)
}

// NoteAlive records that an upstream has sent bytes on a direct connection.
func (l *Links) NoteAlive(now time.Time) {
	if d := l.attached(); d != nil {
		d.NoteAlive(now)
	}
}

// attached returns the dialer that uses peers; nil before there is a node.
func (l *Links) attached() *relay.Dialer {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.dialer
}

// attach uses the peers of a node from now on, and returns the carrier of its links.
func (l *Links) attach(n *Node) *relay.Carrier {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.node = n
	l.dialer = relay.New(relay.Settings{Self: relay.Identity{ID: n.settings.ID}}, l.direct, n.pool, l, l)
	n.metrics.Gauge("hickorybank_lost_links", func() float64 { return float64(l.dialer.LostLinks()) })
	return l.dialer.Carrier(l)
}

// view returns the node's view of the VMs.
func (l *Links) view() *membership.View { return l.node.members.View() }

// linkCheckInterval is the pause between two searches for silent connections over lost links.
const linkCheckInterval = 300 * time.Millisecond

// run closes silent connections over lost links, until ctx ends.
func (l *Links) run(ctx context.Context) {
	for pause(ctx, linkCheckInterval) {
		l.closeSilent()
	}
}

// closeSilent closes silent connections over lost links, so that attempts on them go on through
// a peer.
func (l *Links) closeSilent() {
	engines, ok := l.node.deps.Engines.(interface {
		CloseSilent(isLost func(addr string) bool)
	})
	addrs, all := l.dialer.UnansweredLinks()
	if !ok || len(addrs) == 0 {
		return
	}
	engines.CloseSilent(func(addr string) bool { return all || slices.Contains(addrs, addr) })
}

// Pick implements [relay.Peers].
func (l *Links) Pick(count int, avoid func(id string) bool) []relay.Peer {
	var near, far []relay.Peer
	for _, m := range l.view().Entries {
		if m.ID == l.node.settings.ID || m.State != membership.Live || m.Peer == "" || avoid(m.ID) {
			continue
		}
		p := relay.Peer{ID: m.ID, Addr: m.Peer}
		if m.FailureDomain == l.node.settings.FailureDomain {
			near = append(near, p)
		} else {
			far = append(far, p)
		}
	}
	shuffle := func(all []relay.Peer) {
		rand.Shuffle(len(all), func(i, k int) { all[i], all[k] = all[k], all[i] })
	}
	shuffle(near)
	shuffle(far)
	return relay.Prefer(near, far, count)
}

// IsPeer implements [relay.Peers]. Between nodes with certificates, the connection itself has
// shown that the other end is one.
func (l *Links) IsPeer(process relay.Identity, ip string) bool {
	for _, m := range l.view().Entries {
		host, _, err := net.SplitHostPort(m.Peer)
		if m.ID == process.ID && m.ID != l.node.settings.ID {
			return err == nil && host == ip
		}
	}
	return false
}

// IsUpstream implements [relay.Peers].
func (l *Links) IsUpstream(addr string) bool {
	v := l.view()
	if hasAddr(v.Engines, addr) {
		return true
	}
	for _, s := range v.Services {
		if hasAddr(s.Members, addr) {
			return true
		}
	}
	return false
}

func hasAddr(members []membership.Member, addr string) bool {
	for _, m := range members {
		if m.Addr == addr && m.Role != platform.RoleEntry {
			return true
		}
	}
	return false
}

// LinkLost implements [relay.Observer].
func (l *Links) LinkLost(loss relay.Loss) {
	l.closeSilent()
	e := event.LinkLost
	if loss.All {
		e = event.LinksLost
	}
	e.Log(l.node.deps.Log, slog.String("addr", loss.Addr), slog.String("peer", loss.Peer), slog.Bool("unanswered", loss.Unanswered))
}

// LinkBack implements [relay.Observer].
func (l *Links) LinkBack(addr string, lostFor time.Duration, all bool) {
	e := event.LinkBack
	if all {
		e = event.LinksBack
	}
	e.Log(l.node.deps.Log, slog.String("addr", addr), slog.Int64("lost_ms", lostFor.Milliseconds()))
}

// Opened implements [relay.Observer].
func (l *Links) Opened(_ string, c net.Conn) {
	_ = c.Close() // the transport takes no connection that it has not asked for
}

// Asked implements [relay.Observer].
func (l *Links) Asked(o relay.Outcome) {
	if o == "" {
		o = "no_peer"
	}
	l.node.metrics.Counter("hickorybank_relayed_connections_total", "outcome", string(o)).Inc()
}

// Answered implements [relay.CarrierObserver].
func (l *Links) Answered(from relay.Identity, addr string, o relay.Outcome) {
	l.node.metrics.Counter("hickorybank_carried_connections_total", "outcome", string(o)).Inc()
	if o != relay.Connected && l.refusedLog.allow(time.Now()) {
		event.ConnectionNotCarried.Log(l.node.deps.Log, slog.String("peer", from.ID), slog.String("addr", addr), slog.String("outcome", string(o)))
	}
}

// Passed implements [relay.CarrierObserver].
func (l *Links) Passed(bytes int) {
	l.node.metrics.Counter("hickorybank_carried_bytes_total").Add(bytes)
}
