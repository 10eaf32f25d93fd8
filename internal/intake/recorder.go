package intake

import (
	"log/slog"

	"github.com/hickorybank/hickorybank/internal/event"
	"github.com/hickorybank/hickorybank/internal/telemetry"
)

// Recorder is an [Observer] that counts and logs.
type Recorder struct {
	Log     *slog.Logger
	Metrics *telemetry.Set
}

// HeadRefused implements [Observer].
func (r *Recorder) HeadRefused(listener, client, reason string) {
	r.Metrics.Counter("hickorybank_refused_heads_total", "listener", listener, "reason", reason).Inc()
	event.HeadRefused.Log(r.Log, slog.String("listener", listener), slog.String("reason", reason), slog.String("client", client))
}

// ConnectionClosed implements [Observer].
func (r *Recorder) ConnectionClosed(listener, client string) {
	r.Metrics.Counter("hickorybank_closed_client_connections_total", "listener", listener).Inc()
	event.ClientConnectionClosed.Log(r.Log, slog.String("listener", listener), slog.String("client", client))
}

// Evicted records that a request that stood still has made room for another one.
func (r *Recorder) Evicted() {
	r.Metrics.Counter("hickorybank_evicted_requests_total").Inc()
	event.RequestEvicted.Log(r.Log)
}
