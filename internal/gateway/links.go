package gateway

import (
	"log/slog"
	"math/rand/v2"
	"net"
	"slices"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/hickorybank/hickorybank/internal/event"
	"github.com/hickorybank/hickorybank/internal/exchange"
	"github.com/hickorybank/hickorybank/internal/gossip"
	"github.com/hickorybank/hickorybank/internal/network"
	"github.com/hickorybank/hickorybank/internal/relay"
)

const (
	// directTimeout bounds the opening of a direct connection to an upstream: a hundred round
	// trips between failure domains.
	directTimeout = 500 * time.Millisecond
	// connectTimeout bounds the opening of a connection to an upstream on all ways.
	connectTimeout = 900 * time.Millisecond
	// silentTimeout is how long an upstream may leave data or keep-alive probes
	// unacknowledged.
	silentTimeout = 2 * time.Second
	// carriedMemoryBytes is the memory of a connection that is carried for another node, and
	// carriedMemoryShare the share of the process's memory for them.
	carriedMemoryBytes = 64 << 10
	carriedMemoryShare = 0.1
)

// links are the node's ways to upstreams: its own connections and those through peers.
type links struct {
	node         *Node
	dialer       *relay.Dialer
	carrier      *relay.Carrier
	carriedBytes *metrics.Counter
	// refusedLog bounds the log lines of refused connections.
	refusedLog logThrottle
}

// newLinks returns the links of a node, and the pool that uses them.
func newLinks(n *Node, direct exchange.Dialer) (*links, *exchange.Pool) {
	if direct == nil {
		direct = network.NewProbedDialer(directTimeout, silentTimeout)
	}
	l := &links{node: n, carriedBytes: n.metrics.Counter("hickorybank_carried_bytes_total")}
	s := relay.Settings{Self: relay.Identity{ID: n.settings.ID, Born: n.incarnation}, MaxCarried: maxCarried(n.settings.MemoryMB)}
	l.dialer = relay.New(s, direct, n.network, l, l)
	l.carrier = l.dialer.Carrier(l)
	n.metrics.Gauge("hickorybank_lost_links", func() float64 { return float64(l.dialer.LostLinks()) })
	n.metrics.Gauge("hickorybank_carried_connections", func() float64 { return float64(l.carrier.Carried()) })
	pool := exchange.NewPool(exchange.Settings{DialTimeout: connectTimeout, Dialer: l.dialer, NoteAlive: l.dialer.NoteAlive})
	return l, pool
}

// maxCarried returns how many connections a node with this memory carries for others; 0 for the
// default.
func maxCarried(memoryMB int) int {
	if memoryMB <= 0 {
		return 0
	}
	return max(1, int(carriedMemoryShare*float64(memoryMB)*(1<<20))/carriedMemoryBytes)
}

// check checks the links to silent upstreams, and ends what waits on lost ones.
func (l *links) check(now time.Time) {
	l.dialer.CheckSilent(l.node.pool.SilentUpstreams(now))
	l.abortSilent(now)
}

// abortSilent ends what waits on connections over lost links.
func (l *links) abortSilent(now time.Time) {
	addrs, all := l.dialer.UnansweredLinks()
	if len(addrs) == 0 {
		return
	}
	l.node.pool.AbortSilent(func(addr string) bool { return all || slices.Contains(addrs, addr) }, now)
}

// LinkLost implements [relay.Observer].
func (l *links) LinkLost(loss relay.Loss) {
	l.abortSilent(time.Now())
	if loss.All {
		event.LinksLost.Log(l.node.log, slog.String("addr", loss.Addr), slog.String("peer", loss.Peer), slog.Int("links", l.dialer.LostLinks()))
		return
	}
	event.LinkLost.Log(l.node.log, slog.String("addr", loss.Addr), slog.String("peer", loss.Peer), slog.Bool("unanswered", loss.Unanswered))
}

// LinkBack implements [relay.Observer].
func (l *links) LinkBack(addr string, lostFor time.Duration, all bool) {
	e := event.LinkBack
	if all {
		e = event.LinksBack
	}
	e.Log(l.node.log, slog.String("addr", addr), slog.Int64("lost_ms", lostFor.Milliseconds()))
}

// Opened implements [relay.Observer].
func (l *links) Opened(addr string, c net.Conn) { l.node.pool.Add(addr, c) }

// Asked implements [relay.Observer].
func (l *links) Asked(o relay.Outcome) {
	if o == "" {
		o = "no_peer"
	}
	l.node.metrics.Counter("hickorybank_relayed_connections_total", "outcome", string(o)).Inc()
}

// Answered implements [relay.CarrierObserver].
func (l *links) Answered(from relay.Identity, addr string, o relay.Outcome) {
	l.node.metrics.Counter("hickorybank_carried_connections_total", "outcome", string(o)).Inc()
	if o == relay.Connected || !l.refusedLog.allow(time.Now()) {
		return
	}
	event.ConnectionNotCarried.Log(l.node.log, slog.String("peer", from.ID), slog.String("addr", addr), slog.String("outcome", string(o)))
}

// Passed implements [relay.CarrierObserver].
func (l *links) Passed(bytes int) {
	l.carriedBytes.Add(bytes)
}

// Pick implements [relay.Peers].
func (l *links) Pick(count int, avoid func(id string) bool) []relay.Peer {
	n := l.node
	n.mu.Lock()
	defer n.mu.Unlock()
	near, far := sampler{}, sampler{}
	for _, m := range n.roster.Alive() {
		if m.ID == n.settings.ID || !m.Ready || m.Leaving || avoid(m.ID) {
			continue
		}
		if n.sameDomain(m) {
			near.offer(m, count)
		} else {
			far.offer(m, count)
		}
	}
	return relay.Prefer(near.sample, far.sample, count)
}

// sampler draws a random sample of members in one pass.
type sampler struct {
	sample  []relay.Peer
	offered int
}

// offer includes a member in a sample of count members with equal probability.
func (s *sampler) offer(m gossip.Member, count int) {
	p := relay.Peer{ID: m.ID, Addr: m.Peer}
	s.offered++
	if len(s.sample) < count {
		s.sample = append(s.sample, p)
		i := rand.IntN(len(s.sample))
		s.sample[i], s.sample[len(s.sample)-1] = s.sample[len(s.sample)-1], s.sample[i]
		return
	}
	if i := rand.IntN(s.offered); i < count {
		s.sample[i] = p
	}
}

// IsPeer implements [relay.Peers].
func (l *links) IsPeer(process relay.Identity, ip string) bool {
	l.node.mu.Lock()
	defer l.node.mu.Unlock()
	if !l.node.roster.IsAlive(process.ID, process.Born) {
		return false
	}
	m, alive := l.node.roster.Get(process.ID)
	host, _, err := net.SplitHostPort(m.Peer)
	return alive && err == nil && host == ip && process.ID != l.node.settings.ID
}

// IsUpstream implements [relay.Peers].
func (l *links) IsUpstream(addr string) bool {
	l.node.mu.Lock()
	defer l.node.mu.Unlock()
	return l.node.fleet.HasAddr(addr)
}
