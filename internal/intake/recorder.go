package intake

import (
	"log/slog"
	"sync"
	"time"

	"github.com/hickorybank/hickorybank/internal/event"
	"github.com/hickorybank/hickorybank/internal/telemetry"
)

// Recorder is an [Observer] that counts all that it gets, and logs one line of each kind within
// recordInterval. It is safe for concurrent use.
type Recorder struct {
	log     *slog.Logger
	metrics *telemetry.Set

	mu sync.Mutex
	// loggedAt is when a kind was last logged, unlogged how often it has come since.
	loggedAt map[string]time.Time
	unlogged map[string]int
}

// recordInterval is the least pause between two lines of one kind. Crowds of clients would fill the log
// otherwise.
const recordInterval = time.Second

// NewRecorder returns a recorder.
func NewRecorder(log *slog.Logger, metrics *telemetry.Set) *Recorder {
	return &Recorder{log: log, metrics: metrics, loggedAt: map[string]time.Time{}, unlogged: map[string]int{}}
}

// record logs an event, unless one of its kind was logged a moment ago. The line says how many were not.
func (r *Recorder) record(e event.Event, kind string, attrs ...slog.Attr) {
	now := time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	if now.Sub(r.loggedAt[kind]) < recordInterval {
		r.unlogged[kind]++
		return
	}
	e.Log(r.log, append(attrs, slog.Int("unlogged", r.unlogged[kind]))...)
	r.loggedAt[kind], r.unlogged[kind] = now, 0
}

// HeadRefused implements [Observer].
func (r *Recorder) HeadRefused(listener, client, reason string) {
	r.metrics.Counter("hickorybank_refused_heads_total", "listener", listener, "reason", reason).Inc()
	r.record(event.HeadRefused, "head "+listener+" "+reason, slog.String("listener", listener), slog.String("reason", reason), slog.String("client", client))
}

// ConnectionClosed implements [Observer].
func (r *Recorder) ConnectionClosed(listener, client string) {
	r.metrics.Counter("hickorybank_closed_client_connections_total", "listener", listener).Inc()
	r.record(event.ClientConnectionClosed, "connection "+listener, slog.String("listener", listener), slog.String("client", client))
}

// Evicted records that a stalled request was evicted for another one.
func (r *Recorder) Evicted() {
	r.metrics.Counter("hickorybank_evicted_requests_total").Inc()
	r.record(event.RequestEvicted, "evicted")
}
