package choice

import (
	"slices"
	"time"

	"github.com/hickorybank/hickorybank/internal/choice/detect"
	"github.com/hickorybank/hickorybank/internal/choice/exposure"
	"github.com/hickorybank/hickorybank/internal/choice/quality"
)

// versionState is a node's knowledge of one version, independent of the configuration.
type versionState struct {
	name string
	hold Hold
	// evidence is the evidence that this run observed in the hold's term.
	evidence detect.Evidence
	// own tests this run's evidence; pooled tests that of this run and the merged ones.
	own    detect.Detector
	pooled detect.Detector
	// poolStatistic is the highest statistic in the collector's pool.
	poolStatistic float64
	// merged is the evidence of each merged run that is already included in pooled.
	merged map[quality.Run]mergedEvidence
	// pool replaces the merged summaries when set.
	pool *receivedPool
	// acked is the number of the last summary up to which the collector has acknowledged
	// all cells.
	acked  uint64
	budget exposure.Budget
	// grantWanted is set when a request would have been exposed had there been a grant.
	grantWanted bool
	// lastRated is the time of the last rating that this node observed.
	lastRated time.Time
	// restored are the cells archived before this node collected the version.
	restored []quality.Entry
	// classes are the classes that have cells.
	classes []string
}

// mergedEvidence is a run's evidence as of its summary seq.
type mergedEvidence struct {
	detect.Evidence
	seq uint64
}

// receivedPool holds the observations of a version by other runs.
type receivedPool struct {
	at    int64
	cells []quality.Entry
	// from is the run that made the pool, stamp its change number up to which the pool is
	// complete.
	from  quality.Run
	stamp uint64
}

func newState(name string) *versionState {
	return &versionState{name: name, merged: make(map[quality.Run]mergedEvidence)}
}

func (s *versionState) held() bool { return s.hold.Term > 0 && !s.hold.Lifted }

// statistic returns the highest known statistic of any test, in nats.
func (s *versionState) statistic() float64 {
	return max(s.own.Ratings(), s.own.Errors(), s.pooled.Ratings(), s.pooled.Errors(), s.poolStatistic)
}

func (s *versionState) addClass(class string) {
	if !slices.Contains(s.classes, class) {
		s.classes = append(s.classes, class)
	}
}

// addEvidence adds evidence that this run observed.
func (s *versionState) addEvidence(e detect.Evidence) {
	s.evidence = s.evidence.Plus(e)
	s.own.Add(e)
	s.pooled.Add(e)
}

// mergeEvidence adds a peer's evidence of the current term. Evidence from before the
// run's first summary to this node does not count: it may be long outdated, and the
// previous collector has tested it.
func (s *versionState) mergeEvidence(run quality.Run, seq uint64, e VersionEvidence) {
	previous, known := s.merged[run]
	if e.Term != s.hold.Term || known && previous.seq >= seq {
		return
	}
	s.merged[run] = mergedEvidence{Evidence: e.Evidence, seq: seq}
	if known {
		s.pooled.Add(e.Minus(previous.Evidence))
	}
}

// startTerm starts a new term without evidence.
func (s *versionState) startTerm(h Hold) {
	s.hold = h
	s.evidence = detect.Evidence{}
	s.own.Reset()
	s.pooled.Reset()
	s.poolStatistic = 0
	clear(s.merged)
}
