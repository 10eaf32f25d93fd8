package admission

import (
	"slices"
	"time"
)

// RateLimiter holds this node's shares of the organisations' limits.
//
// A node may use its reserve of a limit, an even part of a small share of it,
// and what the limit's holder has granted it. Grants run out, so a node that
// is cut off keeps to its reserve, and the holder gives its grant to others
// only after it has run out. No request waits for a message.
type RateLimiter struct {
	settings RateSettings
	base     time.Time
	nodes    []string
	orgs     map[string]*rateShare
	order    []*rateShare
	seq      uint64
	sent     time.Duration
	sentAny  bool
	inFlight []sentSummary
	domain   domainWay
}

// rateShare is this node's part of one organisation's limit.
type rateShare struct {
	org     string
	holder  string // empty when the nodes have changed since
	limit   float64
	bucket  bucket
	demand  demandRate
	asked   time.Duration // last request
	any     bool
	granted float64
	seq     uint64 // of the grant
	until   time.Duration
	told    float64 // the demand in the last summary to a collector
}

// sentSummary is when a summary left, from which its grant counts.
type sentSummary struct {
	seq uint64
	at  time.Duration
}

// NewRateLimiter returns a limiter without limits.
func NewRateLimiter(s RateSettings) *RateLimiter {
	return &RateLimiter{settings: s.withDefaults(), orgs: map[string]*rateShare{}}
}

func (l *RateLimiter) since(now time.Time) time.Duration {
	if l.base.IsZero() {
		l.base = now
		l.seq = uint64(now.UnixNano())
	}
	return now.Sub(l.base)
}

// SetLimits takes the limits in force: only organisations with a limit.
func (l *RateLimiter) SetLimits(limits []Limit, now time.Time) {
	t := l.since(now)
	old := l.orgs
	l.orgs = make(map[string]*rateShare, len(limits))
	l.order = l.order[:0]
	for _, limit := range limits {
		s := old[limit.Org]
		if s == nil {
			s = &rateShare{org: limit.Org, bucket: bucket{tokens: 1, last: t}}
		}
		s.limit = limit.PerSecond
		l.orgs[limit.Org] = s
		l.order = append(l.order, s)
	}
}

// SetNodes takes the IDs of the live entry nodes, self among them.
func (l *RateLimiter) SetNodes(ids []string, now time.Time) {
	l.since(now)
	l.nodes = slices.Clone(ids)
	for _, s := range l.orgs {
		s.holder = ""
	}
}

// Allow takes one request of the organisation from its bucket, or says when
// to come back.
func (l *RateLimiter) Allow(org string, now time.Time) (retryAfter time.Duration, ok bool) {
	s := l.orgs[org]
	if s == nil {
		return 0, true
	}
	t := l.since(now)
	s.demand.add(t)
	s.asked = t
	s.any = true
	rate := l.rate(s, t)
	s.bucket.fill(t, rate, l.settings.BurstFor)
	return s.bucket.take(rate)
}

// rate is what the node may use of the limit.
func (l *RateLimiter) rate(s *rateShare, now time.Duration) float64 {
	nodes := max(1, len(l.nodes))
	if nodes == 1 {
		return s.limit
	}
	return s.limit*l.settings.Reserve/float64(nodes) + s.held(now)
}

// held is the grant, as long as it counts. A limit that was lowered since
// bounds it at once.
func (s *rateShare) held(now time.Duration) float64 {
	if now >= s.until {
		return 0
	}
	return min(s.granted, s.limit)
}

// Summaries returns the messages due now, one for each holder; call it a few
// times a second. Each is answered by a [Grant].
func (l *RateLimiter) Summaries(now time.Time) []Summary {
	t := l.since(now)
	if len(l.nodes) < 2 || (l.sentAny && t < l.sent+l.period(t)) {
		return nil
	}
	l.sent = t
	l.sentAny = true
	l.seq++
	l.inFlight = append(l.inFlight, sentSummary{seq: l.seq, at: t})
	l.inFlight = slices.DeleteFunc(l.inFlight, func(s sentSummary) bool { return t > s.at+l.settings.GrantFor })
	if l.collected() {
		return l.collect(t)
	}
	return l.summarise(t)
}

func (l *RateLimiter) summarise(now time.Duration) []Summary {
	var out []Summary
	for _, s := range l.order {
		if !l.active(s, now) {
			continue
		}
		s.demand.decay(now)
		to := s.holderOf(l.nodes)
		i := slices.IndexFunc(out, func(m Summary) bool { return m.To == to })
		if i < 0 {
			i = len(out)
			out = append(out, Summary{From: l.settings.Self, To: to, Seq: l.seq})
		}
		out[i].Demands = append(out[i].Demands, s.report(now))
	}
	return out
}

func (s *rateShare) holderOf(nodes []string) string {
	if s.holder == "" {
		s.holder = HolderOf(s.org, nodes)
	}
	return s.holder
}

func (l *RateLimiter) active(s *rateShare, now time.Duration) bool {
	return s.any && now <= s.asked+l.settings.Idle
}

func (s *rateShare) report(now time.Duration) Demand {
	return Demand{Org: s.org, PerSecond: s.demand.perSecond, Held: s.held(now), HeldSeq: s.seq}
}

// Granted takes a holder's answer. A grant counts from the sending of its
// summary, so that it never outlasts what the holder reckons with. A grant
// older than the one held is passed over.
func (l *RateLimiter) Granted(g Grant, now time.Time) {
	i := slices.IndexFunc(l.inFlight, func(s sentSummary) bool { return s.seq == g.Seq })
	if i < 0 {
		return
	}
	sent := l.inFlight[i].at
	l.domain.answered(g.Seq)
	for _, share := range g.Shares {
		if s := l.orgs[share.Org]; s != nil && g.Seq > s.seq {
			s.bucket.fill(l.since(now), l.rate(s, l.since(now)), l.settings.BurstFor)
			s.granted = share.PerSecond
			s.until = sent + share.validFor(g)
			s.seq = g.Seq
		}
	}
}
