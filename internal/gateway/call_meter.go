package gateway

import (
	"context"
	"log/slog"
	"net/http"
	"time"

	"github.com/hickorybank/hickorybank/internal/event"
	"github.com/hickorybank/hickorybank/internal/telemetry"
)

// CallCause is why a node calls the platform's table. Its values are labels in metrics and
// logs.
type CallCause string

// Causes of calls of the platform's table.
const (
	// CauseStart marks readings by a node that has no state yet.
	CauseStart CallCause = "start"
	// CauseReader marks readings by the reader of a leader group, which reads the table for the
	// groups of all its leaders.
	CauseReader CallCause = "reader"
	// CauseMember marks readings by a node that receives nothing from its reader.
	CauseMember CallCause = "member"
	// CauseRetry marks a call that follows a failed one.
	CauseRetry CallCause = "retry"
	// CauseJoin marks calls that record a node and return the other members.
	CauseJoin CallCause = "join"
	// CauseSnapshot marks calls that save or load the snapshot of the list of upstreams.
	CauseSnapshot CallCause = "snapshot"
	// CauseCrashes marks calls that read or write the record of crashes.
	CauseCrashes CallCause = "crashes"
	// CauseRollout marks calls that read or record the states of rollouts.
	CauseRollout CallCause = "rollout"
)

type causeKey struct{}

// withCause returns a context that labels calls of the platform's table with a cause.
func withCause(ctx context.Context, cause CallCause) context.Context {
	return context.WithValue(ctx, causeKey{}, cause)
}

// CallMeter is an [http.RoundTripper] that counts and logs calls of the platform's table by
// cause. Each round trip counts once.
type CallMeter struct {
	next    http.RoundTripper
	metrics *telemetry.Set
	log     *slog.Logger
}

// NewCallMeter returns a CallMeter that sends its calls through next.
func NewCallMeter(next http.RoundTripper, metrics *telemetry.Set, log *slog.Logger) *CallMeter {
	return &CallMeter{next: next, metrics: metrics, log: log}
}

// RoundTrip sends the request through the next transport and counts the call by its result.
func (m *CallMeter) RoundTrip(r *http.Request) (*http.Response, error) {
	cause, _ := r.Context().Value(causeKey{}).(CallCause)
	start := time.Now()
	resp, err := m.next.RoundTrip(r)
	status, result := 0, "unanswered"
	if err == nil {
		status, result = resp.StatusCode, "refused"
		if status < http.StatusBadRequest {
			result = "ok"
		}
	}
	m.metrics.Counter("hickorybank_table_calls_total", "cause", string(cause), "result", result).Inc()
	event.SourceCalled.Log(m.log, slog.String("cause", string(cause)), slog.String("path", r.URL.Path), slog.String("query", r.URL.RawQuery),
		slog.Int("status", status), slog.Duration("after", time.Since(start)))
	return resp, err
}
