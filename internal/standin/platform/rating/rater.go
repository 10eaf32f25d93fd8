package rating

import (
	"math/rand/v2"
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// scoreKey identifies a version and class. Each has its own quality and sequence of
// scores.
type scoreKey struct {
	version string
	class   string
}

// Rater computes the scores of versions. It is not safe for concurrent use.
type Rater struct {
	seed     uint64
	noise    float64
	fallback float64
	quality  map[scoreKey]float64
	// count is the number of scores given so far.
	count map[scoreKey]uint64
}

// New returns a rater. noise is the standard deviation of the scores before
// clamping; fallback is the quality of versions without a setting.
func New(seed uint64, noise, fallback float64) *Rater {
	return &Rater{
		seed:     seed,
		noise:    noise,
		fallback: fallback,
		quality:  make(map[scoreKey]float64),
		count:    make(map[scoreKey]uint64),
	}
}

// Set sets the quality of a version. It does not validate q.
func (r *Rater) Set(q Quality) {
	if q.Class == "" {
		for s := range r.quality {
			if s.version == q.Version {
				delete(r.quality, s)
			}
		}
	}
	r.quality[scoreKey{q.Version, q.Class}] = q.Quality
}

// Quality returns the true quality of a version for a class: the setting for the
// class, else the one for all classes, else the fallback.
func (r *Rater) Quality(version, class string) float64 {
	if q, ok := r.quality[scoreKey{version, class}]; ok {
		return q
	}
	if q, ok := r.quality[scoreKey{version, ""}]; ok {
		return q
	}
	return r.fallback
}

// Score returns the next score of a version for a class, in [0,1]. The noise of the
// n-th score depends only on seed, version, class and n, so calls for other versions
// do not change it.
func (r *Rater) Score(version, class string) float64 {
	s := scoreKey{version, class}
	r.count[s]++
	score := r.Quality(version, class)
	if r.noise > 0 {
		score += r.noise * r.normal(s)
	}
	return min(max(score, 0), 1)
}

// normal returns the noise of the current score, with a standard deviation of 1.
func (r *Rater) normal(s scoreKey) float64 {
	name := strconv.Quote(s.version) + strconv.Quote(s.class)
	source := rand.NewPCG(r.seed^xxhash.Sum64String(name), r.count[s])
	return rand.New(source).NormFloat64()
}
