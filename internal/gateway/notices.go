package gateway

import (
	"log/slog"
	"time"

	"github.com/hickorybank/hickorybank/internal/event"
	"github.com/hickorybank/hickorybank/internal/fleet"
	"github.com/hickorybank/hickorybank/internal/gossip"
	"github.com/hickorybank/hickorybank/internal/notice"
)

// fromResponse names a response that this node read itself as the source of a notice in logs.
const fromResponse = "answer"

// noteResponse records what an upstream's response, read at the time at, states about the
// upstream.
func (n *Node) noteResponse(up *fleet.Upstream, r Reply, at time.Time) {
	now := time.Now()
	n.mu.Lock()
	defer n.mu.Unlock()
	if r.HasLoad {
		n.fleet.ReportLoad(up, r.Running, r.Waiting, now)
	}
	if r.MachineTime > 0 && n.fleet.ReportMachine(up, r.MachineTime, now) {
		event.SpeedsObserved.Log(n.log, slog.String("service", up.Service), slog.String("upstream", up.ID))
	}
	for _, field := range r.Notice.InvalidFields {
		n.noteInvalidField(up, field, now)
	}
	for _, change := range n.fleet.ApplyResponse(up, r.Notice, at, now) {
		n.noteChange(up.Incarnation(), change, fromResponse, now.Sub(at))
		n.pushNotice(change, now)
	}
}

// mergeNotices applies a peer's reports of upstreams' notices; the caller holds mu.
func (n *Node) mergeNotices(in gossip.Message, now time.Time) {
	for _, r := range in.Notices {
		for _, change := range n.fleet.ApplyReport(r, now) {
			n.noteChange(r.Start, change, in.From, max(r.Age, 0))
		}
	}
}

// pushNotice requests a push of an urgent notice that this node received first, unless one
// was requested a moment ago; the caller holds mu.
func (n *Node) pushNotice(c notice.Change, now time.Time) {
	urgent := c.Kind == notice.LimitBegan || c.Kind == notice.LimitEnded || c.Kind == notice.Leaving ||
		c.Kind == notice.BrittleBegan || c.Kind == notice.BrittleEnded
	if !urgent || now.Sub(n.noticesPushedAt) < noticePushInterval {
		return
	}
	n.noticesPushedAt = now
	n.requestPush()
}

// noticePushInterval is the minimum pause between pushes of notices: upstreams of a failure
// domain often send notices at the same time.
const noticePushInterval = 250 * time.Millisecond

// noteInvalidField counts an invalid field of an upstream's response, and logs it at intervals;
// the caller holds mu.
func (n *Node) noteInvalidField(up *fleet.Upstream, field string, now time.Time) {
	n.metrics.Counter("hickorybank_unsound_answer_fields_total", "field", field).Inc()
	key := up.Incarnation() + " " + field
	if last, known := n.invalidFieldLoggedAt[key]; known && now.Sub(last) < invalidFieldLogInterval {
		return
	}
	if len(n.invalidFieldLoggedAt) >= maxInvalidFieldsLogged {
		clear(n.invalidFieldLoggedAt)
	}
	n.invalidFieldLoggedAt[key] = now
	event.ResponseFieldInvalid.Log(n.log, slog.String("upstream", up.ID), slog.Int64("born", up.Born), slog.String("field", field))
}

const (
	// invalidFieldLogInterval is the minimum pause between log lines for a field of one
	// upstream.
	invalidFieldLogInterval = time.Minute
	// maxInvalidFieldsLogged bounds the fields whose last log line is remembered.
	maxInvalidFieldsLogged = 1024
)

// noteChange counts and logs a notice that changed an upstream's state here; the caller
// holds mu. The notice has the given age and came from a response or a peer.
func (n *Node) noteChange(start string, c notice.Change, from string, age time.Duration) {
	n.metrics.Counter("hickorybank_upstream_notices_total", "kind", c.Kind.String(), "upstream", n.noticeLabel(start)).Inc()
	if c.Repeated {
		return
	}
	attrs := []slog.Attr{slog.String("upstream", start), slog.String("from", from), slog.Int64("age_ms", age.Milliseconds())}
	switch c.Kind {
	case notice.LimitBegan:
		event.LimitBegan.Log(n.log, append(attrs, slog.Float64("per_second", c.Now.PerSecond))...)
	case notice.LimitChanged:
		event.LimitChanged.Log(n.log, append(attrs, slog.Float64("per_second", c.Now.PerSecond), slog.Float64("before", c.Before.PerSecond))...)
	case notice.LimitEnded:
		event.LimitEnded.Log(n.log, append(attrs, slog.Float64("before", c.Before.PerSecond), slog.Int64("lasted_ms", c.Lasted.Milliseconds()))...)
	case notice.BrittleBegan:
		event.BrittleBegan.Log(n.log, append(attrs, slog.Int("max_rejections", c.Now.MaxRejections))...)
	case notice.BrittleEnded:
		event.BrittleEnded.Log(n.log, append(attrs, slog.Int64("lasted_ms", c.Lasted.Milliseconds()))...)
	case notice.Leaving:
		event.UpstreamLeaves.Log(n.log, attrs...)
	case notice.BackoffBegan:
		event.BackoffBegan.Log(n.log, append(attrs, slog.Int64("for_ms", time.Until(c.Until).Milliseconds()))...)
	}
}

// maxNoticeLabels bounds the upstreams with their own label in metrics.
const maxNoticeLabels = 128

// noticeLabel returns the metric label of an upstream's start; the caller holds mu.
func (n *Node) noticeLabel(start string) string {
	if !n.noticeLabels[start] && len(n.noticeLabels) >= maxNoticeLabels {
		return "other"
	}
	n.noticeLabels[start] = true
	return start
}

// limitedUpstreams returns the number of upstreams with an announced rate limit in force.
func (n *Node) limitedUpstreams() float64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	return float64(n.fleet.LimitedUpstreams())
}

// leavingUpstreams returns the number of upstreams that announced their end before the
// table's list showed it.
func (n *Node) leavingUpstreams() float64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	return float64(n.fleet.LeavingUpstreams())
}

// restingUpstreams returns the number of upstreams that get no requests because they asked
// for rest.
func (n *Node) restingUpstreams() float64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	return float64(n.fleet.BackedOffUpstreams(time.Now()))
}

// sweepNotices removes the notices of upstreams that are long gone, at intervals.
func (n *Node) sweepNotices() {
	now := time.Now()
	n.mu.Lock()
	defer n.mu.Unlock()
	if now.Sub(n.noticesSweptAt) < noticeSweepInterval {
		return
	}
	n.noticesSweptAt = now
	n.fleet.SweepNotices(now)
}

// noticeSweepInterval is the pause between two removals of such notices.
const noticeSweepInterval = time.Minute
