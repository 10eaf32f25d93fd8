package notice

import (
	"math"
	"time"
)

// State is the latest announced state of one incarnation of an upstream. A nil State is that
// of an upstream that has announced nothing.
type State struct {
	incarnation string
	limit       Limit
	// origin and seq identify the response that set the limit. readAt is when it was read,
	// by this node's clock. All are zero before the first response.
	origin uint64
	seq    int64
	readAt time.Time
	// limitedSince is when the current limit began at this node. reportedAt is when a
	// change was last reported as new, and reportedLimit the limit of the last change.
	limitedSince, reportedAt time.Time
	reportedLimit            Limit
	// leaving is set once a response announces a shutdown. It stays set for this
	// incarnation.
	leaving bool
	// backoffUntil is the latest end of the back-offs requested from this node.
	backoffUntil time.Time
	// backoff is the length of the back-off that ends at backoffUntil.
	backoff time.Duration
	// updatedAt is when an announcement last arrived.
	updatedAt time.Time
	// freshUntil is the time until which the state is reported to peers as a recent change.
	freshUntil time.Time
}

const (
	// minRelativeChange is the relative difference from which a new limit counts as
	// changed.
	minRelativeChange = 0.1
	// repeatInterval is the minimum time between two changes of one upstream that are not
	// marked as repeated.
	repeatInterval = time.Second
	// freshFor is how long a change is reported to each peer as recent: several message
	// rounds.
	freshFor = 5 * time.Second
)

// Incarnation identifies the incarnation.
func (s *State) Incarnation() string { return s.incarnation }

// Limit returns the rate limit in force.
func (s *State) Limit() Limit {
	if s == nil {
		return Limit{}
	}
	return s.limit
}

// Leaving reports whether the upstream announced its shutdown.
func (s *State) Leaving() bool {
	if s == nil {
		return false
	}
	return s.leaving
}

// BackoffUntil returns the end of the back-off that the upstream requested from this node.
func (s *State) BackoffUntil() time.Time {
	if s == nil {
		return time.Time{}
	}
	return s.backoffUntil
}

// Backoff returns the length of the back-off that ends at BackoffUntil.
func (s *State) Backoff() time.Duration {
	if s == nil {
		return 0
	}
	return s.backoff
}

// setLeaving records an announced shutdown. It reports whether the state changed.
func (s *State) setLeaving(now time.Time) bool {
	if s.leaving {
		return false
	}
	s.updatedAt = now
	s.leaving = true
	s.freshUntil = now.Add(freshFor)
	return true
}

// setBackoff records a back-off of length d, requested in a response read at the time at.
// It reports whether a back-off begins: there is one now, and there was none before.
func (s *State) setBackoff(d time.Duration, at, now time.Time) bool {
	s.updatedAt = now
	wasBackingOff := now.Before(s.backoffUntil)
	if until := at.Add(d); until.After(s.backoffUntil) {
		s.backoffUntil, s.backoff = until, d
	}
	return !wasBackingOff && now.Before(s.backoffUntil)
}

// ReadAt returns when the response that set the limit was read; zero before the first one.
func (s *State) ReadAt() time.Time {
	if s == nil {
		return time.Time{}
	}
	return s.readAt
}

// isOlderThan reports whether a response was read after the one that set this state.
//
// Ages are compared only between different origins. A relayed report of the same response
// has a smaller age after each hop, because the age does not include the message's delay.
func (s *State) isOlderThan(origin uint64, seq int64, at time.Time) bool {
	if s.readAt.IsZero() {
		return true
	}
	if s.origin == origin {
		return seq > s.seq
	}
	return at.After(s.readAt)
}

// setLimit applies the limit of a newer response.
func (s *State) setLimit(l Limit, origin uint64, seq int64, at, now time.Time) Change {
	s.origin, s.seq, s.readAt, s.updatedAt = origin, seq, at, now
	before := s.limit
	s.limit = l
	c := Change{Before: before, Now: l}
	switch {
	case l.Named && !before.Named:
		c.Kind = LimitBegan
		s.limitedSince = now
	case !l.Named && before.Named:
		c.Kind, c.Lasted = LimitEnded, now.Sub(s.limitedSince)
	case l.Named && math.Abs(l.PerSecond-s.reportedLimit.PerSecond) > minRelativeChange*s.reportedLimit.PerSecond:
		c.Kind = LimitChanged
	case l.MaxRejections > 0 && before.MaxRejections == 0:
		c.Kind = BrittleBegan
		s.limitedSince = now
	case l.MaxRejections == 0 && before.MaxRejections > 0:
		c.Kind, c.Lasted = BrittleEnded, now.Sub(s.limitedSince)
	default:
		return c
	}
	s.reportedLimit = l
	s.freshUntil = now.Add(freshFor)
	c.Repeated = now.Sub(s.reportedAt) < repeatInterval
	if !c.Repeated {
		s.reportedAt = now
	}
	return c
}

func (s *State) report(now time.Time) Report {
	if s.readAt.IsZero() {
		return Report{Start: s.incarnation, Age: noResponse, Leaving: s.leaving}
	}
	return Report{Start: s.incarnation, Origin: s.origin, Seq: s.seq, Age: now.Sub(s.readAt), Limit: s.limit, Leaving: s.leaving}
}
