package load

import (
	"math/rand/v2"
	"sort"
	"time"
)

// Arrivals is how requests are spread in time.
type Arrivals string

// The ways to arrive.
const (
	// Poisson: independent of each other, as many callers are.
	Poisson Arrivals = "poisson"
	// Constant: at equal gaps.
	Constant Arrivals = "constant"
)

// Job is one request of a schedule.
type Job struct {
	// Seq counts the jobs from 0.
	Seq int
	// At is when it starts, since the beginning of the run.
	At   time.Duration
	Work *Work
	// Lane is which of the lanes takes it.
	Lane int
	// Draw decides what a lane still has to choose, such as an upstream.
	Draw uint64
}

// Schedule gives the jobs of a run, in order of time. The same seed gives the
// same jobs.
type Schedule struct {
	mix      *Mix
	upTo     []float64 // running sums of the weights
	arrivals Arrivals
	gap      time.Duration // mean
	end      time.Duration
	lanes    int
	random   *rand.Rand
	at       time.Duration
	seq      int
}

// NewSchedule returns the jobs of a rate a second over a duration, shared by
// chance among a number of lanes.
func NewSchedule(m *Mix, arrivals Arrivals, perSecond float64, end time.Duration, lanes int, seed uint64) *Schedule {
	s := &Schedule{
		mix: m, arrivals: arrivals, gap: time.Duration(float64(time.Second) / perSecond), end: end, lanes: lanes,
		random: rand.New(rand.NewPCG(seed, seed+1)),
	}
	sum := 0.0
	for _, w := range m.Work {
		sum += w.Weight
		s.upTo = append(s.upTo, sum)
	}
	return s
}

// Next returns the next job; ok is false when there is none.
func (s *Schedule) Next() (job Job, ok bool) {
	s.at += s.nextGap()
	if s.at >= s.end {
		return Job{}, false
	}
	job = Job{Seq: s.seq, At: s.at, Work: s.pick(), Lane: s.random.IntN(s.lanes), Draw: s.random.Uint64()}
	s.seq++
	return job, true
}

func (s *Schedule) nextGap() time.Duration {
	if s.arrivals == Constant {
		return s.gap
	}
	return time.Duration(s.random.ExpFloat64() * float64(s.gap))
}

func (s *Schedule) pick() *Work {
	x := s.random.Float64() * s.upTo[len(s.upTo)-1]
	i := sort.SearchFloat64s(s.upTo, x)
	return &s.mix.Work[min(i, len(s.mix.Work)-1)]
}
