package canary

import (
	"math"
	"time"
)

// slowdown is a way in which a version's answers are slower: a share of them by some octaves,
// each as likely.
type slowdown struct {
	share   float64
	octaves []int
}

// slowdowns are the ways in which a version counts as slower. Callers notice when every answer
// takes twice as long, or when every fourth takes several times as long.
var slowdowns = [...]slowdown{
	{share: 1, octaves: []int{1}},
	{share: 1, octaves: []int{1, 2}},
	{share: 0.5, octaves: []int{1, 2, 3}},
	{share: 0.25, octaves: []int{2, 3}},
}

// slowdownScores holds a value for each of the slowdowns.
type slowdownScores [len(slowdowns)]float64

// delayEvidence compares one measure's grades between the versions. For each slowdown it sums
// the log likelihood ratio of "slower in this way" against "as quick as the old version".
type delayEvidence struct {
	counted   DelayCount
	base      [delayGrades]float64 // the old version's recent grades, decayed with baseHalfLife
	decayedAt time.Time
	// total is the sum over all answers. recent is a sequential test (CUSUM) that never falls
	// below zero: it finds a version that becomes slow late.
	total, recent slowdownScores
	// unfinished is what the unfinished attempts add now.
	unfinished slowdownScores
}

// priorGrades are the assumed grades of the old version's delays while few are known.
var priorGrades = [delayGrades]float64{0.15, 0.35, 0.35, 0.1, 0.03, 0.02}

const (
	// priorDelays is the weight of priorGrades, in answers.
	priorDelays = 10
	// minGradeShare is the least share assumed for a grade: no single delay may decide.
	minGradeShare = 0.02
)

// add takes the counts up to now. It returns what they add to each sum, and what the unfinished
// attempts add now.
func (e *delayEvidence) add(c DelayCount, now time.Time) (added, unfinished slowdownScores) {
	decay := 1.0
	if !e.decayedAt.IsZero() {
		decay = math.Exp2(-float64(now.Sub(e.decayedAt)) / float64(baseHalfLife))
	}
	e.decayedAt = now
	for i, n := range c.Base.since(e.counted.Base) {
		e.base[i] = e.base[i]*decay + n
	}
	fresh := c.New.since(e.counted.New)
	e.counted = c
	usual := usualShares(e.base, c.Base)
	added = scores(usual, fresh)
	if c.Base.total() == 0 {
		// The old version's attempts show no delay either: all of them may end without an answer.
		e.sum(added, unfinished)
		return added, unfinished
	}
	for s, way := range slowdowns {
		slower := way.apply(usual)
		slowerTail, usualTail := 0.0, 0.0
		for i := delayGrades - 1; i >= 0; i-- {
			slowerTail += slower[i]
			usualTail += usual[i]
			unfinished[s] += float64(c.Unfinished[i]) * math.Log(slowerTail/usualTail)
		}
	}
	e.sum(added, unfinished)
	return added, unfinished
}

// scores returns what delays with these grades add for each slowdown.
func scores(usual, fresh [delayGrades]float64) (added slowdownScores) {
	for s, way := range slowdowns {
		slower := way.apply(usual)
		for i, n := range fresh {
			added[s] += n * math.Log(slower[i]/usual[i])
		}
	}
	return added
}

// sum adds to the sums.
func (e *delayEvidence) sum(added, unfinished slowdownScores) {
	for s, a := range added {
		e.recent[s] = max(e.recent[s]+a, 0)
		e.total[s] += a
	}
	e.unfinished = unfinished
}

// likelihood returns the log likelihood ratio of "slower in one of these ways", each as likely,
// against "as quick as the old version".
func (e *delayEvidence) likelihood() float64 {
	sum := e.total
	sum.add(e.unfinished)
	return sum.mixture()
}

// rejects reports whether the version counts as too slow.
func (e *delayEvidence) rejects(handicap float64) bool {
	return e.likelihood() >= slowRollbackThreshold+handicap || e.becameSlow() >= lateRollbackThreshold
}

// doubts reports whether the version may be too slow.
func (e *delayEvidence) doubts(handicap float64) bool {
	return e.likelihood() >= doubtThreshold+handicap || e.becameSlow() >= lateDoubtThreshold
}

// becameSlow returns the evidence that the version is slow now, regardless of its earlier answers.
func (e *delayEvidence) becameSlow() float64 { return e.recent.max() }

// usualShares returns the shares of the old version's grades: the recent ones, pulled towards
// those since the order.
func usualShares(recent [delayGrades]float64, sinceOrder DelayCounts) (shares [delayGrades]float64) {
	all := float64(sinceOrder.total()) + priorDelays
	sum := 0.0
	for i := range shares {
		longRun := (float64(sinceOrder[i]) + priorDelays*priorGrades[i]) / all
		shares[i] = recent[i] + priorAnswers*longRun
		sum += shares[i]
	}
	floored := 0.0
	for i := range shares {
		shares[i] = max(shares[i]/sum, minGradeShare)
		floored += shares[i]
	}
	for i := range shares {
		shares[i] /= floored
	}
	return shares
}

// apply returns the shares of the grades after the slowdown.
func (s slowdown) apply(shares [delayGrades]float64) (slower [delayGrades]float64) {
	for i, p := range shares {
		slower[i] += (1 - s.share) * p
		for _, octaves := range s.octaves {
			slower[min(i+octaves, delayGrades-1)] += s.share * p / float64(len(s.octaves))
		}
	}
	sum := 0.0
	for i := range slower {
		slower[i] = max(slower[i], minGradeShare/2)
		sum += slower[i]
	}
	for i := range slower {
		slower[i] /= sum
	}
	return slower
}

// max returns the largest of the scores.
func (s slowdownScores) max() float64 {
	largest := s[0]
	for _, v := range s[1:] {
		largest = max(largest, v)
	}
	return largest
}

func (s *slowdownScores) add(other slowdownScores) {
	for i, v := range other {
		s[i] += v
	}
}

// mixture returns the logarithm of the mean likelihood ratio.
func (s slowdownScores) mixture() float64 {
	sum := 0.0
	for _, v := range s {
		sum += math.Exp(v)
	}
	return math.Log(sum / float64(len(s)))
}
