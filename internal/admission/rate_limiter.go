package admission

import (
	"slices"
	"time"
)

// RateLimiter enforces this node's shares of the organisations' limits.
//
// A node may use its reserve of a limit, which is an even part of a small fraction of it,
// and what the limit's holder has granted to it. Grants expire, so a node that is cut off
// keeps only its reserve, and the holder grants its share to others only after that. No
// request waits for a message.
type RateLimiter struct {
	settings RateSettings
	base     time.Time
	nodes    []string
	orgs     map[string]*orgShare
	order    []*orgShare
	seq      uint64
	sentAt   time.Duration
	hasSent  bool
	inFlight []sentSummary
	route    collectorRoute
}

// orgShare is this node's share of one organisation's limit.
type orgShare struct {
	org            string
	holder         string // empty when the nodes have changed since
	limit          float64
	bucket         tokenBucket
	demand         demandRate
	requestedAt    time.Duration // last request
	requested      bool
	granted        float64
	seq            uint64 // of the grant
	expiresAt      time.Duration
	reportedDemand float64 // the demand in the last summary to a collector
}

// sentSummary records when a summary was sent, from which its grant is valid.
type sentSummary struct {
	seq    uint64
	sentAt time.Duration
}

// NewRateLimiter returns a limiter without limits. Zero fields of s take their defaults.
func NewRateLimiter(s RateSettings) *RateLimiter {
	return &RateLimiter{settings: s.withDefaults(), orgs: map[string]*orgShare{}}
}

// since converts a time to an offset from the base. The first call sets the base and
// starts seq at the current time, so that seq also increases across restarts.
func (l *RateLimiter) since(now time.Time) time.Duration {
	if l.base.IsZero() {
		l.base = now
		l.seq = uint64(now.UnixNano())
	}
	return now.Sub(l.base)
}

// SetLimits sets the limits in force. Organisations that are not listed are unlimited.
func (l *RateLimiter) SetLimits(limits []Limit, now time.Time) {
	t := l.since(now)
	previous := l.orgs
	l.orgs = make(map[string]*orgShare, len(limits))
	l.order = l.order[:0]
	for _, limit := range limits {
		s := previous[limit.Org]
		if s == nil {
			s = &orgShare{org: limit.Org, bucket: tokenBucket{tokens: 1, filledAt: t}}
		}
		s.limit = limit.PerSecond
		l.orgs[limit.Org] = s
		l.order = append(l.order, s)
	}
}

// SetNodes sets the IDs of the live entry nodes, this node included.
func (l *RateLimiter) SetNodes(ids []string, now time.Time) {
	l.since(now)
	l.nodes = slices.Clone(ids)
	for _, s := range l.orgs {
		s.holder = ""
	}
}

// Allow takes a token for one request of the organisation. Without a token it returns
// false and the time after which to retry.
func (l *RateLimiter) Allow(org string, now time.Time) (retryAfter time.Duration, ok bool) {
	s := l.orgs[org]
	if s == nil {
		return 0, true
	}
	t := l.since(now)
	s.demand.add(t)
	s.requestedAt = t
	s.requested = true
	rate := l.rate(s, t)
	s.bucket.refill(t, rate, l.settings.BurstDuration)
	return s.bucket.take(rate)
}

// rate returns the rate that this node may use of the limit, in requests per second. A
// node without peers may use all of it.
func (l *RateLimiter) rate(s *orgShare, now time.Duration) float64 {
	nodes := max(1, len(l.nodes))
	if nodes == 1 {
		return s.limit
	}
	return s.limit*l.settings.Reserve/float64(nodes) + s.held(now)
}

// held returns the valid grant. A limit that has been lowered since bounds it at once.
func (s *orgShare) held(now time.Duration) float64 {
	if now >= s.expiresAt {
		return 0
	}
	return min(s.granted, s.limit)
}

// Summaries returns the messages that are due, one for each holder or one for the
// collector. Call it a few times per second. Each message is answered by a [Grant].
func (l *RateLimiter) Summaries(now time.Time) []Summary {
	t := l.since(now)
	if len(l.nodes) < 2 || (l.hasSent && t < l.sentAt+l.period(t)) {
		return nil
	}
	l.sentAt = t
	l.hasSent = true
	l.seq++
	l.inFlight = append(l.inFlight, sentSummary{seq: l.seq, sentAt: t})
	l.inFlight = slices.DeleteFunc(l.inFlight, func(s sentSummary) bool { return t > s.sentAt+l.settings.GrantDuration })
	if l.usesCollector() {
		return l.collectorSummary(t)
	}
	return l.holderSummaries(t)
}

// holderSummaries returns one message for each holder of an active organisation's limit.
func (l *RateLimiter) holderSummaries(now time.Duration) []Summary {
	var summaries []Summary
	for _, s := range l.order {
		if !l.active(s, now) {
			continue
		}
		s.demand.decay(now)
		to := s.holderOf(l.nodes)
		i := slices.IndexFunc(summaries, func(m Summary) bool { return m.To == to })
		if i < 0 {
			i = len(summaries)
			summaries = append(summaries, Summary{From: l.settings.Self, To: to, Seq: l.seq})
		}
		summaries[i].Demands = append(summaries[i].Demands, s.report(now))
	}
	return summaries
}

func (s *orgShare) holderOf(nodes []string) string {
	if s.holder == "" {
		s.holder = HolderOf(s.org, nodes)
	}
	return s.holder
}

// active reports whether the organisation's demand is still reported.
func (l *RateLimiter) active(s *orgShare, now time.Duration) bool {
	return s.requested && now <= s.requestedAt+l.settings.ReportIdle
}

func (s *orgShare) report(now time.Duration) Demand {
	return Demand{Org: s.org, PerSecond: s.demand.perSecond, Held: s.held(now), HeldSeq: s.seq}
}

// ApplyGrant processes a holder's or collector's answer. A grant is valid from the sending
// of its summary, so it never outlasts what the sender of the grant assumes. Grants older
// than the one held are ignored.
func (l *RateLimiter) ApplyGrant(g Grant, now time.Time) {
	i := slices.IndexFunc(l.inFlight, func(s sentSummary) bool { return s.seq == g.Seq })
	if i < 0 {
		return
	}
	sentAt := l.inFlight[i].sentAt
	l.route.answered(g.Seq)
	for _, share := range g.Shares {
		if s := l.orgs[share.Org]; s != nil && g.Seq > s.seq {
			s.bucket.refill(l.since(now), l.rate(s, l.since(now)), l.settings.BurstDuration)
			s.granted = share.PerSecond
			s.expiresAt = sentAt + share.validFor(g)
			s.seq = g.Seq
		}
	}
}
