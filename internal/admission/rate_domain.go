package admission

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// hurryFor is how long messages go out each hurryPeriod after a demand
	// has changed by much: its share comes back in two
	// steps, and a new holder only renews for as long as a grant counts.
	hurryFor    = 6 * time.Second
	hurryPeriod = 500 * time.Millisecond
	// A demand has changed by much when it has grown or fallen by this factor
	// and by so many requests a second.
	muchFactor = 2.0
	muchMore   = 2.0
	// mostMissed is how many summaries in turn a collector may leave
	// without an answer until the next one in rank is asked, for passOver.
	mostMissed = 2
	passOver   = 30 * time.Second
	// collectorRanks is how many collectors are tried in turn.
	collectorRanks = 3
)

// muchChanged says that a demand should be told at once: one that grew waits
// for its share, and one that fell keeps others from theirs.
func muchChanged(before, now float64) bool {
	low, high := min(before, now), max(before, now)
	return high > low*muchFactor && high > low+muchMore
}

// domainWay is a limiter's way to the collector of its failure domain.
//
// A collector that is paused and still in the list would leave its whole
// domain with reserves. Asking the next in rank is harmless: each collector
// gives away only what a holder has granted to it.
type domainWay struct {
	collectors []string // by rank
	size       int
	hurryUntil time.Duration
	asked      uint64 // the last Seq
	heard      uint64 // the last Seq that was answered
	missed     int
	rank       int
	passed     time.Duration // when rank last grew
}

// SetDomain takes the IDs of the live entry nodes in this node's failure
// domain, self among them.
func (l *RateLimiter) SetDomain(ids []string) {
	l.domain.size = len(ids)
	ranked := slices.Clone(ids)
	slices.SortFunc(ranked, func(a, b string) int {
		return cmp.Or(cmp.Compare(xxhash.Sum64String(b), xxhash.Sum64String(a)), cmp.Compare(a, b))
	})
	l.domain.collectors = ranked[:min(collectorRanks, len(ranked))]
}

// collected says that this node asks through a collector.
func (l *RateLimiter) collected() bool { return l.domain.size > l.settings.Direct }

func (l *RateLimiter) period(now time.Duration) time.Duration {
	if !l.collected() {
		return l.settings.Period
	}
	if l.burst(now) {
		l.domain.hurryUntil = now + hurryFor
	}
	if now < l.domain.hurryUntil {
		return hurryPeriod
	}
	if l.domain.heard < l.domain.asked {
		return l.settings.Period
	}
	return l.settings.CollectPeriod
}

// burst says that an organisation's demand has changed by much since the
// collector was told.
func (l *RateLimiter) burst(now time.Duration) bool {
	for _, s := range l.order {
		if !l.active(s, now) {
			continue
		}
		s.demand.decay(now)
		if muchChanged(s.told, s.demand.perSecond) {
			return true
		}
	}
	return false
}

// collect is the one message for all organisations.
func (l *RateLimiter) collect(now time.Duration) []Summary {
	m := Summary{From: l.settings.Self, To: l.domain.next(l.seq, now), Seq: l.seq, Collect: true}
	for _, s := range l.order {
		s.demand.decay(now)
		s.told = s.demand.perSecond
		if l.active(s, now) {
			m.Demands = append(m.Demands, s.report(now))
		}
	}
	if len(m.Demands) == 0 {
		l.domain.answered(l.seq)
		return nil
	}
	return []Summary{m}
}

// next is the collector to ask.
func (d *domainWay) next(seq uint64, now time.Duration) string {
	if d.heard < d.asked {
		d.missed++
	}
	if d.missed > mostMissed {
		d.missed = 0
		d.rank = (d.rank + 1) % len(d.collectors)
		d.passed = now
	}
	if d.rank != 0 && now > d.passed+passOver {
		d.rank = 0
	}
	d.asked = seq
	return d.collectors[min(d.rank, len(d.collectors)-1)]
}

func (d *domainWay) answered(seq uint64) {
	d.heard = max(d.heard, seq)
	d.missed = 0
}
