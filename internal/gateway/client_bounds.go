package gateway

import (
	"log/slog"
	"net"
	"time"

	"github.com/hickorybank/hickorybank/internal/event"
	"github.com/hickorybank/hickorybank/internal/intake"
)

// listenTo listens for callers or others who send HTTP requests, within bounds.
func (n *Node) listenTo(name, addr string, connections int) (net.Listener, error) {
	l, err := n.listen(addr)
	if err != nil {
		return nil, err
	}
	s := intake.Settings{Name: name, MaxConnections: connections, ReadBuffer: unreadBytes, Account: n.memory, Observer: n}
	if name == frontListener {
		s.HeadBytes, s.HeadTimeout = n.maxHeadBytes, n.headTimeout
	}
	return intake.NewListener(l, s), nil
}

// The names of listeners, as events and metrics show them.
const (
	frontListener     = "front"
	directoryListener = "directory"
	readyListener     = "ready"
	metricsListener   = "metrics"
	peerListener      = "peer"
)

const (
	// maxHeadLimit and maxHeadTimeLimit bound the limits that a configuration may set.
	maxHeadLimit     = 1 << 20
	maxHeadTimeLimit = 10 * time.Minute
)

// maxHeadBytes returns the size of the longest head of a caller.
func (n *Node) maxHeadBytes() int {
	if c := n.config.Load(); c != nil && c.Limits.HeaderBytes > 0 {
		return min(c.Limits.HeaderBytes, maxHeadLimit)
	}
	return intake.DefaultHeadBytes
}

// headTimeout returns how long a caller may take to send a head.
func (n *Node) headTimeout() time.Duration {
	if c := n.config.Load(); c != nil && c.Limits.HeaderTimeout > 0 {
		return min(c.Limits.HeaderTimeout, maxHeadTimeLimit)
	}
	return intake.DefaultHeadTimeout
}

// HeadRefused implements [intake.Observer].
func (n *Node) HeadRefused(listener, client, reason string) {
	n.metrics.Counter("hickorybank_refused_heads_total", "listener", listener, "reason", reason).Inc()
	event.HeadRefused.Log(n.log, slog.String("listener", listener), slog.String("reason", reason), slog.String("client", client))
}

// ConnectionClosed implements [intake.Observer].
func (n *Node) ConnectionClosed(listener, client string) {
	n.metrics.Counter("hickorybank_closed_client_connections_total", "listener", listener).Inc()
	event.ClientConnectionClosed.Log(n.log, slog.String("listener", listener), slog.String("client", client))
}

// noteEvicted records that a stalled request has made room for another one.
func (n *Node) noteEvicted() {
	n.metrics.Counter("hickorybank_evicted_requests_total").Inc()
	event.RequestEvicted.Log(n.log)
}
