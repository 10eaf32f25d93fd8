package notice

import (
	"math"
	"time"
)

// State is what one start of an upstream last said of itself.
type State struct {
	start string
	limit Limit
	// origin and seq name the answer behind it, at is when that was read, by this node's
	// clock; zero before any.
	origin uint64
	seq    int64
	at     time.Time
	// since is when the limit in force began here, reported when a change was last told,
	// and told the limit then.
	since, reported time.Time
	told            Limit
	// leaving is set once an answer has said so: it holds for this start for good.
	leaving bool
	// restUntil is the latest end of the rests that it has asked this node for.
	restUntil time.Time
	// resting is the length of the rest that ends then.
	resting time.Duration
	// touched is when anything was last heard.
	touched time.Time
	// tellUntil is until when peers are told first.
	tellUntil time.Time
}

const (
	// changeStep is the part by which a limit moves before that counts as a change.
	changeStep = 0.1
	// reportPause is the pause between changes of one upstream that are told as new.
	reportPause = time.Second
	// tellFor is how long a change is told to each peer: some rounds of news.
	tellFor = 5 * time.Second
)

// Start is the upstream's start.
func (s *State) Start() string { return s.start }

// Limit is the rate limit in force.
func (s *State) Limit() Limit { return s.limit }

// Leaving tells whether the upstream has said that it leaves.
func (s *State) Leaving() bool { return s.leaving }

// RestUntil is until when the upstream wants nothing from this node.
func (s *State) RestUntil() time.Time { return s.restUntil }

// Rest is how long the rest is that ends last.
func (s *State) Rest() time.Duration { return s.resting }

// leave notes that the upstream leaves; it reports whether that is new.
func (s *State) leave(now time.Time) bool {
	if s.leaving {
		return false
	}
	s.touched = now
	s.leaving = true
	s.tellUntil = now.Add(tellFor)
	return true
}

// rest notes a rest that was asked for in an answer read at a time; it reports whether this
// node was free to send until now.
func (s *State) rest(d time.Duration, at, now time.Time) bool {
	s.touched = now
	resting := now.Before(s.restUntil)
	if until := at.Add(d); until.After(s.restUntil) {
		s.restUntil, s.resting = until, d
	}
	return !resting && now.Before(s.restUntil)
}

// ReadAt is when the answer behind the state was read; zero before any.
func (s *State) ReadAt() time.Time { return s.at }

// later tells whether an answer was read after the one behind this state.
//
// Ages are compared between different origins only: the same answer, told from node to
// node, grows younger with each step.
func (s *State) later(origin uint64, seq int64, at time.Time) bool {
	if s.at.IsZero() {
		return true
	}
	if s.origin == origin {
		return seq > s.seq
	}
	return at.After(s.at)
}

// set takes a later answer's limit.
func (s *State) set(l Limit, origin uint64, seq int64, at, now time.Time) Change {
	s.origin, s.seq, s.at, s.touched = origin, seq, at, now
	before := s.limit
	s.limit = l
	c := Change{Before: before, Now: l}
	switch {
	case l.Named && !before.Named:
		c.Kind = LimitBegan
		s.since = now
	case !l.Named && before.Named:
		c.Kind, c.Lasted = LimitEnded, now.Sub(s.since)
	case l.Named && math.Abs(l.PerSecond-s.told.PerSecond) > changeStep*s.told.PerSecond:
		c.Kind = LimitChanged
	default:
		return c
	}
	s.told = l
	s.tellUntil = now.Add(tellFor)
	c.Repeated = now.Sub(s.reported) < reportPause
	if !c.Repeated {
		s.reported = now
	}
	return c
}

func (s *State) report(now time.Time) Report {
	if s.at.IsZero() {
		return Report{Start: s.start, Age: noAnswer, Leaving: s.leaving}
	}
	return Report{Start: s.start, Origin: s.origin, Seq: s.seq, Age: now.Sub(s.at), Limit: s.limit, Leaving: s.leaving}
}
