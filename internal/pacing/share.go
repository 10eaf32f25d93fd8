package pacing

import (
	"time"

	"golang.org/x/time/rate"
)

// Share is this node's share of one bound of an upstream.
type Share struct {
	// limiter is nil if other nodes send to the upstream.
	limiter     *rate.Limiter
	bound       Bound
	generation  int
	initialized bool
}

// Limiter returns the limiter for this node's share of an upstream's bound, or nil if other
// nodes send. The upstream's name must be the same on all nodes.
func (s *Share) Limiter(upstream string, b Bound, senders *Senders, now time.Time) *rate.Limiter {
	if s.initialized && s.generation == senders.generation && s.bound == b {
		return s.limiter
	}
	previous := s.limiter
	s.initialized, s.generation, s.bound, s.limiter = true, senders.generation, b, nil
	count := min(b.senderCount(), max(len(senders.nodes), 1))
	if !senders.isSender(upstream, count) {
		return nil
	}
	s.limiter = previous
	if s.limiter == nil {
		s.limiter = rate.NewLimiter(b.ratePerSender(count), b.burstPerSender())
	}
	s.limiter.SetLimitAt(now, b.ratePerSender(count))
	s.limiter.SetBurstAt(now, b.burstPerSender()) // tokens beyond the burst are dropped
	return s.limiter
}

// Peek returns a limiter in the state that Limiter's would have, without changing the share.
// Only the tokens of the result may be read.
func (s *Share) Peek(upstream string, b Bound, senders *Senders, now time.Time) *rate.Limiter {
	if s.initialized && s.generation == senders.generation && s.bound == b {
		return s.limiter
	}
	next := Share{}
	l := next.Limiter(upstream, b, senders, now)
	if l != nil && s.limiter != nil {
		switch tokens := s.limiter.TokensAt(now); {
		case tokens >= float64(l.Burst()):
		case l.Limit() > 0:
			// A bucket that was emptied that long ago has as many tokens now.
			ago := max(tokens, 0) / float64(l.Limit())
			l.AllowN(now.Add(-time.Duration(ago*float64(time.Second))), l.Burst())
		default:
			l.AllowN(now, l.Burst()-int(max(tokens, 0)))
		}
	}
	return l
}

// Rate returns the rate in requests per second of all nodes together.
func (s *Share) Rate() float64 { return s.bound.Rate }

// NextToken returns the time at which a limiter allows a request, at most [MaxWait] after
// now.
func NextToken(limiter *rate.Limiter, now time.Time) time.Time {
	missing := 1 - limiter.TokensAt(now)
	if missing <= 0 {
		return now
	}
	if limiter.Limit() <= 0 {
		return now.Add(MaxWait)
	}
	return now.Add(min(time.Duration(missing/float64(limiter.Limit())*float64(time.Second)), MaxWait))
}

// MaxWait is the maximum time ahead for which [NextToken] predicts a token.
const MaxWait = time.Minute
