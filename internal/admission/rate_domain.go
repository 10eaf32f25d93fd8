package admission

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// fastReportFor is how long summaries are sent every fastReportPeriod after a sharp
	// change of demand. The new share takes two steps to come back, and a new holder only
	// renews shares for as long as a grant is valid.
	fastReportFor    = 6 * time.Second
	fastReportPeriod = 500 * time.Millisecond
	// A change of demand is sharp when it exceeds both sharpChangeFactor and
	// sharpChangeMin, the latter in requests per second.
	sharpChangeFactor = 2.0
	sharpChangeMin    = 2.0
	// maxMissedAnswers is how many consecutive summaries a collector may leave
	// unanswered. Beyond that, the next collector in rank is used for fallbackFor.
	maxMissedAnswers = 2
	fallbackFor      = 30 * time.Second
	// maxCollectors is how many collectors are tried in turn.
	maxCollectors = 3
)

// changedSharply reports whether a demand must be reported at once. An increased demand
// waits for its share, and a decreased one withholds its share from others.
func changedSharply(before, now float64) bool {
	low, high := min(before, now), max(before, now)
	return high > low*sharpChangeFactor && high > low+sharpChangeMin
}

// collectorRoute selects the collector of the failure domain to which a limiter sends.
//
// A collector that is paused but still listed would leave its whole domain with reserves
// only. Using the next one in rank is safe, since each collector grants only what a
// holder has granted to it.
type collectorRoute struct {
	collectors    []string // by rank
	domainSize    int
	fastUntil     time.Duration
	askedSeq      uint64 // the Seq of the last summary
	answeredSeq   uint64 // the last Seq that was answered
	missed        int
	rank          int
	rankChangedAt time.Duration // when rank last increased
}

// SetDomain sets the IDs of the live entry nodes in this node's failure domain, this node
// included.
func (l *RateLimiter) SetDomain(ids []string) {
	l.route.domainSize = len(ids)
	ranked := slices.Clone(ids)
	slices.SortFunc(ranked, func(a, b string) int {
		return cmp.Or(cmp.Compare(xxhash.Sum64String(b), xxhash.Sum64String(a)), cmp.Compare(a, b))
	})
	l.route.collectors = ranked[:min(maxCollectors, len(ranked))]
}

// usesCollector reports whether this node sends its summaries to a collector.
func (l *RateLimiter) usesCollector() bool { return l.route.domainSize > l.settings.MaxDirectNodes }

// period returns the interval between two summaries.
func (l *RateLimiter) period(now time.Duration) time.Duration {
	if !l.usesCollector() {
		return l.settings.Period
	}
	if l.hasSharpChange(now) {
		l.route.fastUntil = now + fastReportFor
	}
	if now < l.route.fastUntil {
		return fastReportPeriod
	}
	if l.route.answeredSeq < l.route.askedSeq {
		return l.settings.Period
	}
	return l.settings.CollectorPeriod
}

// hasSharpChange reports whether an organisation's demand has changed sharply since it
// was last reported to the collector.
func (l *RateLimiter) hasSharpChange(now time.Duration) bool {
	for _, s := range l.order {
		if !l.active(s, now) {
			continue
		}
		s.demand.decay(now)
		if changedSharply(s.reportedDemand, s.demand.perSecond) {
			return true
		}
	}
	return false
}

// collectorSummary returns one message for all organisations, or none without demand.
func (l *RateLimiter) collectorSummary(now time.Duration) []Summary {
	m := Summary{From: l.settings.Self, To: l.route.nextCollector(l.seq, now), Seq: l.seq, Collect: true}
	for _, s := range l.order {
		s.demand.decay(now)
		s.reportedDemand = s.demand.perSecond
		if l.active(s, now) {
			m.Demands = append(m.Demands, s.report(now))
		}
	}
	if len(m.Demands) == 0 {
		l.route.answered(l.seq)
		return nil
	}
	return []Summary{m}
}

// nextCollector returns the collector for the summary seq.
func (r *collectorRoute) nextCollector(seq uint64, now time.Duration) string {
	if r.answeredSeq < r.askedSeq {
		r.missed++
	}
	if r.missed > maxMissedAnswers {
		r.missed = 0
		r.rank = (r.rank + 1) % len(r.collectors)
		r.rankChangedAt = now
	}
	if r.rank != 0 && now > r.rankChangedAt+fallbackFor {
		r.rank = 0
	}
	r.askedSeq = seq
	return r.collectors[min(r.rank, len(r.collectors)-1)]
}

func (r *collectorRoute) answered(seq uint64) {
	r.answeredSeq = max(r.answeredSeq, seq)
	r.missed = 0
}
