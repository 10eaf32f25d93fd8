package pacing

import (
	"time"

	"golang.org/x/time/rate"
)

// Share is this node's share of one rate bound of an upstream.
type Share struct {
	// limit is nil where other nodes send.
	limit      *rate.Limiter
	bound      Bound
	generation int
	known      bool
}

// Limiter returns this node's part of an upstream's bound; nil where others send. The upstream
// is named as on all nodes.
func (s *Share) Limiter(upstream string, b Bound, all *Senders, now time.Time) *rate.Limiter {
	if s.known && s.generation == all.generation && s.bound == b {
		return s.limit
	}
	had := s.limit
	s.known, s.generation, s.bound, s.limit = true, all.generation, b, nil
	count := min(b.senderCount(), max(len(all.all), 1))
	if !all.amongFirst(upstream, count) {
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

// Rate is how many requests a second all nodes together may send.
func (s *Share) Rate() float64 { return s.bound.Rate }

// NextToken is when a limiter has room for a request, seen from now.
func NextToken(limit *rate.Limiter, now time.Time) time.Time {
	missing := 1 - limit.TokensAt(now)
	if missing <= 0 {
		return now
	}
	if limit.Limit() <= 0 {
		return now.Add(MostPause)
	}
	return now.Add(min(time.Duration(missing/float64(limit.Limit())*float64(time.Second)), MostPause))
}

// MostPause bounds how far ahead room is foreseen.
const MostPause = time.Minute
