package load

import (
	"math/rand/v2"
	"sort"
	"time"
)

// Arrivals is the distribution of start times.
type Arrivals string

// The distributions of start times.
const (
	// Poisson starts requests independently of each other, as many callers do.
	Poisson Arrivals = "poisson"
	// Constant starts requests at equal intervals.
	Constant Arrivals = "constant"
)

// Job is one request of a schedule.
type Job struct {
	// Seq is the number of the job, from 0.
	Seq int
	// At is the scheduled start, since the beginning of the run.
	At   time.Duration
	Work *Work
	// Lane is the index of the lane that sends the job.
	Lane int
	// Draw is a random number for choices of the lane, such as the upstream.
	Draw uint64
}

// Schedule generates the jobs of a run in order of time. The same seed gives the same
// jobs.
type Schedule struct {
	mix               *Mix
	cumulativeWeights []float64 // running sums of the weights
	arrivals          Arrivals
	meanGap           time.Duration // mean
	end               time.Duration
	lanes             int
	random            *rand.Rand
	at                time.Duration
	seq               int
}

// NewSchedule returns a schedule with a mean rate until end. Each job goes to a random
// one of the lanes.
func NewSchedule(m *Mix, arrivals Arrivals, perSecond float64, end time.Duration, lanes int, seed uint64) *Schedule {
	s := &Schedule{
		mix: m, arrivals: arrivals, meanGap: time.Duration(float64(time.Second) / perSecond), end: end, lanes: lanes,
		random: rand.New(rand.NewPCG(seed, seed+1)),
	}
	sum := 0.0
	for _, w := range m.Work {
		sum += w.Weight
		s.cumulativeWeights = append(s.cumulativeWeights, sum)
	}
	return s
}

// Next returns the next job; ok is false at the end of the schedule.
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
		return s.meanGap
	}
	return time.Duration(s.random.ExpFloat64() * float64(s.meanGap))
}

func (s *Schedule) pick() *Work {
	x := s.random.Float64() * s.cumulativeWeights[len(s.cumulativeWeights)-1]
	i := sort.SearchFloat64s(s.cumulativeWeights, x)
	return &s.mix.Work[min(i, len(s.mix.Work)-1)]
}
