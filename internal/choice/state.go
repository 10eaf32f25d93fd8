package choice

import (
	"slices"
	"time"

	"github.com/hickorybank/hickorybank/internal/choice/detect"
	"github.com/hickorybank/hickorybank/internal/choice/exposure"
	"github.com/hickorybank/hickorybank/internal/choice/quality"
)

// state is what a node knows of one version, whatever the configuration.
type state struct {
	name string
	hold Hold
	// evidence is what this run has seen in the hold's term.
	evidence detect.Evidence
	// own tests what this run saw, pooled what it and the merged runs saw.
	own    detect.Suspicion
	pooled detect.Suspicion
	// peers is the highest statistic in the collecting node's pool.
	peers float64
	// seen is the evidence of merged runs that is already in pooled.
	seen map[quality.Run]seenEvidence
	// pool stands in place of merged summaries when set.
	pool *pooled
	// base is the number of the last summary of which the collecting node
	// has said that it lacks nothing.
	base  uint64
	purse exposure.Purse
	// wanted is set when a request would have been exposed with a grant.
	wanted bool
	// rated is when this node last took in a rating.
	rated time.Time
	// restored is what was archived before this node collected the version.
	restored []quality.Entry
	// classes are those of which there are cells.
	classes []string
}

// seenEvidence is a run's evidence as of its summary of that number.
type seenEvidence struct {
	detect.Evidence
	seq uint64
}

// pooled is what others have seen of a version.
type pooled struct {
	at    int64
	cells []quality.Entry
	// from is the run that made it, and stamp up to which of its changes it
	// is complete.
	from  quality.Run
	stamp uint64
}

func newState(name string) *state {
	return &state{name: name, seen: make(map[quality.Run]seenEvidence)}
}

func (s *state) held() bool { return s.hold.Term > 0 && !s.hold.Lifted }

// suspicion is the highest statistic known, in nats.
func (s *state) suspicion() float64 {
	return max(s.own.Ratings(), s.own.Errors(), s.pooled.Ratings(), s.pooled.Errors(), s.peers)
}

func (s *state) sawClass(class string) {
	if !slices.Contains(s.classes, class) {
		s.classes = append(s.classes, class)
	}
}

// add takes in evidence that this run saw.
func (s *state) add(e detect.Evidence) {
	s.evidence = s.evidence.Plus(e)
	s.own.Add(e)
	s.pooled.Add(e)
}

// merge takes in a peer's evidence of this term. What a run saw before it was
// first heard of here does not count: it may be long past, and another node
// that collected then has judged it.
func (s *state) merge(run quality.Run, seq uint64, e VersionEvidence) {
	earlier, known := s.seen[run]
	if e.Term != s.hold.Term || known && earlier.seq >= seq {
		return
	}
	s.seen[run] = seenEvidence{Evidence: e.Evidence, seq: seq}
	if known {
		s.pooled.Add(e.Minus(earlier.Evidence))
	}
}

// begin starts a new term of holds without evidence.
func (s *state) begin(h Hold) {
	s.hold = h
	s.evidence = detect.Evidence{}
	s.own.Reset()
	s.pooled.Reset()
	s.peers = 0
	clear(s.seen)
}
