package rating

import (
	"math/rand/v2"
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// stream is what has a quality and a sequence of scores of its own.
type stream struct {
	version string
	class   string
}

// Rater gives scores.
type Rater struct {
	seed     uint64
	noise    float64
	fallback float64
	quality  map[stream]float64
	count    map[stream]uint64
}

// New returns a rater whose scores have the standard deviation noise, and
// where versions that were given no quality have fallback.
func New(seed uint64, noise, fallback float64) *Rater {
	return &Rater{
		seed:     seed,
		noise:    noise,
		fallback: fallback,
		quality:  make(map[stream]float64),
		count:    make(map[stream]uint64),
	}
}

// Set puts a valid quality into force.
func (r *Rater) Set(q Quality) {
	if q.Class == "" {
		for s := range r.quality {
			if s.version == q.Version {
				delete(r.quality, s)
			}
		}
	}
	r.quality[stream{q.Version, q.Class}] = q.Quality
}

// Quality returns the true quality of a version for a class.
func (r *Rater) Quality(version, class string) float64 {
	if q, ok := r.quality[stream{version, class}]; ok {
		return q
	}
	if q, ok := r.quality[stream{version, ""}]; ok {
		return q
	}
	return r.fallback
}

// Score returns the next score of a version for a class, in [0,1]. The noise
// of the n-th score depends on seed, version, class and n alone, so calls for
// other versions do not change it.
func (r *Rater) Score(version, class string) float64 {
	s := stream{version, class}
	r.count[s]++
	score := r.Quality(version, class)
	if r.noise > 0 {
		score += r.noise * r.normal(s)
	}
	return min(max(score, 0), 1)
}

func (r *Rater) normal(s stream) float64 {
	name := strconv.Quote(s.version) + strconv.Quote(s.class)
	source := rand.NewPCG(r.seed^xxhash.Sum64String(name), r.count[s])
	return rand.New(source).NormFloat64()
}
