package gateway

import (
	"log/slog"
	"time"

	"github.com/hickorybank/hickorybank/internal/event"
	"github.com/hickorybank/hickorybank/internal/fleet"
	"github.com/hickorybank/hickorybank/internal/gossip"
	"github.com/hickorybank/hickorybank/internal/notice"
)

// fromAnswer names an answer that this node read itself as the source of news in logs.
const fromAnswer = "answer"

// noteAnswer takes what an upstream's answer, read at a time, says of the upstream.
func (n *Node) noteAnswer(up *fleet.Upstream, r Reply, at time.Time) {
	now := time.Now()
	n.mu.Lock()
	defer n.mu.Unlock()
	if r.HasLoad {
		n.fleet.Report(up, r.Running, r.Waiting, now)
	}
	for _, field := range r.Notice.Unsound {
		n.noteUnsound(up, field, now)
	}
	for _, change := range n.fleet.Answered(up, r.Notice, at, now) {
		n.noteChange(up.Start(), change, fromAnswer, now.Sub(at))
		n.tellNotice(change, now)
	}
}

// takeNotices takes what a peer tells of upstreams' answers; the caller holds mu.
func (n *Node) takeNotices(in gossip.Message, now time.Time) {
	for _, r := range in.Notices {
		for _, change := range n.fleet.TakeNotice(r, now) {
			n.noteChange(r.Start, change, in.From, max(r.Age, 0))
		}
	}
}

// tellNotice has other nodes told at once of what this one has read first, unless they
// were a moment ago; the caller holds mu.
func (n *Node) tellNotice(c notice.Change, now time.Time) {
	urgent := c.Kind == notice.LimitBegan || c.Kind == notice.LimitEnded || c.Kind == notice.Leaving
	if !urgent || now.Sub(n.noticesTold) < noticesTellPause {
		return
	}
	n.noticesTold = now
	n.tellSoon()
}

// noticesTellPause is the least pause between news that are told at once: upstreams of a
// failure domain are in need together.
const noticesTellPause = 250 * time.Millisecond

// noteUnsound logs a field of an upstream's answers that makes no sense, not for each
// answer; the caller holds mu.
func (n *Node) noteUnsound(up *fleet.Upstream, field string, now time.Time) {
	n.metrics.Counter("hickorybank_unsound_answer_fields_total", "field", field).Inc()
	key := up.Start() + " " + field
	if last, known := n.unsoundAt[key]; known && now.Sub(last) < unsoundPause {
		return
	}
	if len(n.unsoundAt) >= mostUnsound {
		clear(n.unsoundAt)
	}
	n.unsoundAt[key] = now
	event.AnswerUnsound.Log(n.log, slog.String("upstream", up.ID), slog.Int64("born", up.Born), slog.String("field", field))
}

const (
	// unsoundPause is the pause between two log lines on one field of one upstream.
	unsoundPause = time.Minute
	// mostUnsound bounds the fields whose last log line is remembered.
	mostUnsound = 1024
)

// noteChange counts and logs what a statement of an upstream has changed here; the caller
// holds mu. The statement was age old, and came from an answer or a peer.
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
	case notice.Leaving:
		event.UpstreamLeaves.Log(n.log, attrs...)
	case notice.RestBegan:
		event.RestBegan.Log(n.log, append(attrs, slog.Int64("for_ms", time.Until(c.Until).Milliseconds()))...)
	}
}

// mostNoticeLabels bounds the upstreams that are told apart in metrics.
const mostNoticeLabels = 128

// noticeLabel is the name of an upstream's start in metrics; the caller holds mu.
func (n *Node) noticeLabel(start string) string {
	if !n.noticeLabels[start] && len(n.noticeLabels) >= mostNoticeLabels {
		return "other"
	}
	n.noticeLabels[start] = true
	return start
}

// limitedUpstreams is how many upstreams have a rate limit of their own in force.
func (n *Node) limitedUpstreams() float64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	return float64(n.fleet.LimitedUpstreams())
}

// leavingUpstreams is how many upstreams have said that they leave before the table's list
// did.
func (n *Node) leavingUpstreams() float64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	return float64(n.fleet.LeavingUpstreams())
}

// restingUpstreams is how many upstreams this node leaves alone, as they have asked for rest.
func (n *Node) restingUpstreams() float64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	return float64(n.fleet.RestingUpstreams(time.Now()))
}

// sweepNotices forgets what upstreams have said that are long gone, now and then.
func (n *Node) sweepNotices() {
	now := time.Now()
	n.mu.Lock()
	defer n.mu.Unlock()
	if now.Sub(n.noticesSwept) < noticesSweepEvery {
		return
	}
	n.noticesSwept = now
	n.fleet.SweepNotices(now)
}

// noticesSweepEvery is the pause between two looks for upstreams that are long gone.
const noticesSweepEvery = time.Minute
