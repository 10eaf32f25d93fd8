package gateway

import (
	"log/slog"
	"strconv"
	"time"

	"github.com/hickorybank/hickorybank/internal/event"
)

// logEvent logs a decision on a request with the facts behind it.
func (n *Node) logEvent(e event.Event, j *job, attrs ...slog.Attr) {
	all := make([]slog.Attr, 0, len(attrs)+8)
	all = append(all, slog.String("request", j.headers.ID))
	if j.route != nil {
		all = append(all, slog.String("route", j.route.Name))
	}
	if j.orgName != "" {
		all = append(all, slog.String("organisation", j.orgName))
	}
	if j.config != nil {
		all = append(all, slog.Int64("config", j.config.Version))
	}
	all = append(all,
		slog.Int64("after_ms", time.Since(j.start).Milliseconds()),
		slog.Int("attempts", j.attemptsReached),
		slog.Bool("may_have_run", j.mayHaveRun))
	all = append(all, attrs...)
	e.Log(n.log, all...)
}

// observe counts the end of a request and records its duration.
func (j *job) observe(status int) {
	kind := "none"
	if j.route != nil {
		kind = j.route.Kind.String()
	}
	m := j.node.metrics
	m.Counter("hickorybank_forwarded_total", "kind", kind, "status", strconv.Itoa(status)).Inc()
	m.Histogram("hickorybank_forwarded_seconds", "organisation", j.orgLabel(), "kind", kind).UpdateDuration(j.start)
}

// orgLabel returns the request's organisation as a label of metrics.
func (j *job) orgLabel() string {
	if j.orgName == "" {
		return "none"
	}
	return j.orgName
}
