package fleet

import (
	"time"

	"golang.org/x/time/rate"
)

// rateShare is this node's share of one rate bound of an upstream.
type rateShare struct {
	// limit is nil where other nodes send.
	limit      *rate.Limiter
	bound      RateBound
	generation int
	known      bool
}

// limiter returns this node's part of a bound; nil where others send.
func (s *rateShare) limiter(u *Upstream, b RateBound, all *senders, now time.Time) *rate.Limiter {
	if s.known && s.generation == all.generation && s.bound == b {
		return s.limit
	}
	had := s.limit
	s.known, s.generation, s.bound, s.limit = true, all.generation, b, nil
	count := min(b.senderCount(), max(len(all.all), 1))
	if !all.amongFirst(u, count) {
		return nil
	}
	s.limit = had
	if s.limit == nil {
		s.limit = rate.NewLimiter(b.perSender(count), b.burst())
	}
	s.limit.SetLimitAt(now, b.perSender(count))
	s.limit.SetBurstAt(now, b.burst()) // what was saved up beyond it is lost
	return s.limit
}

// nextToken is when a limiter has room for a request, seen from now.
func nextToken(limit *rate.Limiter, now time.Time) time.Time {
	missing := 1 - limit.TokensAt(now)
	if missing <= 0 {
		return now
	}
	if limit.Limit() <= 0 {
		return now.Add(mostPause)
	}
	return now.Add(min(time.Duration(missing/float64(limit.Limit())*float64(time.Second)), mostPause))
}

// mostPause bounds how far ahead room is foreseen.
const mostPause = time.Minute
