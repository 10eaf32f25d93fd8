package gateway

import (
	"context"
	"log/slog"
	"net/http"
	"time"

	"github.com/hickorybank/hickorybank/internal/event"
	"github.com/hickorybank/hickorybank/internal/telemetry"
)

// CallCause is why a node calls the platform's table.
type CallCause string

// Causes of calls of the table.
const (
	// CauseStart calls are those of a node that knows nothing yet.
	CauseStart CallCause = "start"
	// CauseReader calls are those of a circle's reader.
	CauseReader CallCause = "reader"
	// CauseMember calls are those of a node whose reader is not heard.
	CauseMember CallCause = "member"
	// CauseRetry calls follow one that failed.
	CauseRetry CallCause = "retry"
	// CauseJoin calls record a node and find others.
	CauseJoin CallCause = "join"
	// CauseSnapshot calls keep and recall the list of upstreams.
	CauseSnapshot CallCause = "snapshot"
	// CauseRollout calls read and record how roll-outs stand.
	CauseRollout CallCause = "rollout"
)

type causeKey struct{}

// withCause returns a context whose calls of the table have a cause.
func withCause(ctx context.Context, cause CallCause) context.Context {
	return context.WithValue(ctx, causeKey{}, cause)
}

// CallMeter counts calls of the table by cause, each round trip once.
type CallMeter struct {
	next    http.RoundTripper
	metrics *telemetry.Set
	log     *slog.Logger
}

// NewCallMeter returns a meter of the calls that go through next.
func NewCallMeter(next http.RoundTripper, metrics *telemetry.Set, log *slog.Logger) *CallMeter {
	return &CallMeter{next: next, metrics: metrics, log: log}
}

// RoundTrip makes a call and counts it.
func (m *CallMeter) RoundTrip(r *http.Request) (*http.Response, error) {
	cause, _ := r.Context().Value(causeKey{}).(CallCause)
	began := time.Now()
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
		slog.Int("status", status), slog.Duration("after", time.Since(began)))
	return resp, err
}
