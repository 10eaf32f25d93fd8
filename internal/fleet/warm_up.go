package fleet

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"golang.org/x/time/rate"
)

// WarmUp is what the upstreams of a service bear right after a start.
type WarmUp struct {
	// Time is how long an upstream warms up.
	Time time.Duration
	// Rate is how many requests a second it bears meanwhile, from all nodes together; 0
	// for no bound.
	Rate float64
	// Most is how many may arrive within any second.
	Most float64
}

const (
	// senderSpare divides what may arrive within a second beyond the rate: one half is
	// for the bursts of those that send, the other for nodes that do not know yet that
	// others send in their place.
	senderSpare = 2
	// mostSenders bounds the nodes that share an upstream's rate.
	mostSenders = 16
)

// senderCount returns how many nodes share an upstream's rate. Each may send one request at
// once and its part of the rate after that, so that with s senders s + rate requests
// arrive within a second at most.
func (w *WarmUp) senderCount() int {
	return int(min(max((w.Most-w.Rate)/senderSpare, 1), mostSenders))
}

// perSender is how many requests a second each of some nodes may send.
func (w *WarmUp) perSender(count int) rate.Limit {
	return rate.Limit(max(min(w.Rate, w.Most-float64(count)), 0) / float64(count))
}

// senders are the nodes among which the rates of upstreams that warm up are shared.
type senders struct {
	self string
	all  []string
	// generation changes with them.
	generation int
}

// SetWarmUp says what upstreams of a service bear while they warm up.
func (f *Fleet) SetWarmUp(service string, w WarmUp) {
	if f.warmUps[service] != w {
		f.warmUps[service] = w
		f.senders.generation++
	}
}

// SetSenders names this node and all that may send to upstreams, those that are not known
// to live included. With none, this node sends nothing to upstreams that warm up: it has
// just started, and does not know who else does.
func (f *Fleet) SetSenders(self string, all []string) {
	if f.senders.self == self && slices.Equal(f.senders.all, all) {
		return
	}
	f.senders = senders{self, slices.Clone(all), f.senders.generation + 1}
}

// Returning notes that nobody listened at an upstream's address: it may be back under its
// ID, and warm up, before the table says so.
func (f *Fleet) Returning(u *Upstream, now time.Time) {
	if w := f.warmUps[u.Service]; w.Rate > 0 {
		u.extendWarmUp(now.Add(w.Time))
	}
}

// warmUpShare is a node's share of the rate of one upstream that warms up.
type warmUpShare struct {
	// limit is nil where other nodes send.
	limit      *rate.Limiter
	generation int
	known      bool
}

// cold tells whether the upstream warms up.
func (u *Upstream) cold(now time.Time) bool { return now.Before(u.coldUntil) }

// extendWarmUp has the upstream warm up until a time at least.
func (u *Upstream) extendWarmUp(t time.Time) {
	if t.After(u.coldUntil) {
		u.coldUntil = t
	}
}

// admits tells whether this node may send the upstream a request now.
//
// Without this, an upstream that has just started looks idle to all nodes, and the burst
// that they send crashes it.
func (f *Fleet) admits(u *Upstream, now time.Time) bool {
	if !u.cold(now) || f.warmUps[u.Service].Rate <= 0 {
		return true
	}
	limit := f.shareOf(u)
	return limit != nil && limit.TokensAt(now) >= 1
}

// spend takes a request from this node's share, if the upstream warms up.
func (f *Fleet) spend(u *Upstream, now time.Time) {
	if !u.cold(now) || f.warmUps[u.Service].Rate <= 0 {
		return
	}
	if limit := f.shareOf(u); limit != nil {
		limit.AllowN(now, 1)
	}
}

// shareOf returns this node's share of an upstream's rate; nil where others send.
func (f *Fleet) shareOf(u *Upstream) *rate.Limiter {
	s := &u.share
	if s.known && s.generation == f.senders.generation {
		return s.limit
	}
	w := f.warmUps[u.Service]
	count := min(w.senderCount(), max(len(f.senders.all), 1))
	had := s.limit
	s.known, s.generation, s.limit = true, f.senders.generation, nil
	if !f.senders.amongFirst(u, count) {
		return nil
	}
	s.limit = had
	if s.limit == nil {
		s.limit = rate.NewLimiter(w.perSender(count), 1)
	}
	s.limit.SetLimit(w.perSender(count))
	return s.limit
}

// amongFirst tells whether this node is one of the first few by rendezvous hashing: all
// nodes agree on them without talking.
func (s *senders) amongFirst(u *Upstream, few int) bool {
	if len(s.all) == 0 {
		return false
	}
	own := senderRank(s.self, u)
	ahead := 0
	for _, id := range s.all {
		if id != s.self && senderRank(id, u) > own {
			ahead++
		}
	}
	return ahead < few
}

func senderRank(node string, u *Upstream) uint64 { return xxhash.Sum64String(node + "/" + u.Start()) }

// warmingUp returns the upstreams of a list that warm up: this node is one of few that may
// send to them, so that a sample seldom has them.
func warmingUp(all []*Upstream, now time.Time) []*Upstream {
	var cold []*Upstream
	for _, u := range all {
		if u.cold(now) {
			cold = append(cold, u)
		}
	}
	return cold
}

// recordAt is the upstream's record as it is told to another node at a time.
func (u *Upstream) recordAt(now time.Time) Record {
	r := u.Record
	if r.Cold > 0 {
		r.Cold = max(u.coldUntil.Sub(now), time.Millisecond) // its entry still says so
	}
	return r
}
