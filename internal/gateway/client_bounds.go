package gateway

import (
	"net"
	"time"

	"github.com/hickorybank/hickorybank/internal/intake"
)

// listenTo listens for callers or others who send HTTP requests, within bounds.
func (n *Node) listenTo(name, addr string, connections int) (net.Listener, error) {
	l, err := n.listen(addr)
	if err != nil {
		return nil, err
	}
	s := intake.Settings{Name: name, MaxConnections: connections, Account: n.memory, Observer: n.intakeRecorder}
	if name == frontListener {
		s.HeadBytes, s.HeadTimeout = n.maxHeadBytes, n.headTimeout
	}
	intake.BoundUnread(l)
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
