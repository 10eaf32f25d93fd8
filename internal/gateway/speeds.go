package gateway

import (
	"fmt"
	"log/slog"
	"time"

	"github.com/hickorybank/hickorybank/internal/event"
	"github.com/hickorybank/hickorybank/internal/fleet"
)

// speedLogInterval is the pause between log lines about upstreams' speeds.
const speedLogInterval = 30 * time.Second

// speedSummary returns what this node knows of upstreams' speeds.
func (n *Node) speedSummary() fleet.SpeedSummary {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.fleet.SpeedSummary(time.Now())
}

// logSpeeds logs what this node knows of upstreams' speeds, at intervals and if it knows any.
func (n *Node) logSpeeds(now time.Time) {
	if now.Sub(n.speedsLoggedAt) < speedLogInterval {
		return
	}
	n.speedsLoggedAt = now
	s := n.speedSummary()
	if s.Known == 0 {
		return
	}
	slowest := make([]string, 0, len(s.Slowest))
	for _, u := range s.Slowest {
		slowest = append(slowest, fmt.Sprintf("%s lasting %.2f now %.2f streams %.1f age_ms %d", u.ID, u.Lasting, u.Momentary, u.Weight, u.Age.Milliseconds()))
	}
	event.UpstreamSpeeds.Log(n.log, slog.Int("known", s.Known), slog.Int("slow", s.Slow),
		slog.Int64("oldest_ms", s.OldestEvidence.Milliseconds()), slog.Any("slowest", slowest))
}
