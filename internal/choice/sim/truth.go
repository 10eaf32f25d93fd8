package sim

import (
	"math"
	"math/rand/v2"

	"github.com/hickorybank/hickorybank/internal/choice/quality"
	"github.com/hickorybank/hickorybank/internal/config"
)

// The range of true qualities. Scores are clamped to 0 and 1, so ratings cannot
// distinguish qualities beyond it.
const (
	minQuality = 0.05
	maxQuality = 0.95
)

// truth holds the true qualities, which are hidden from the policies.
type truth struct {
	world   World
	initial map[quality.Key]float64
	// factor is the current share of a version's initial quality.
	factor map[string]float64
	// locations caches the results of location by mean quality.
	locations map[float64]float64
}

func newTruth(w World, doc *config.Document, seed uint64) *truth {
	t := &truth{world: w, initial: map[quality.Key]float64{}, factor: map[string]float64{}, locations: map[float64]float64{}}
	rng := rand.New(rand.NewPCG(seed, 1))
	for _, m := range doc.Models {
		for _, v := range m.Versions {
			t.draw(rng, v, doc.Classes)
		}
	}
	return t
}

func (t *truth) draw(rng *rand.Rand, v config.Version, classes []config.Class) {
	t.factor[v.Name] = 1
	versionQuality := v.PriorQuality + t.world.PriorError*rng.NormFloat64()
	for _, c := range classes {
		q := versionQuality + classStdDev*rng.NormFloat64()
		t.initial[quality.Key{Version: v.Name, Class: c.Name}] = min(max(q, minQuality), maxQuality)
	}
}

// mean returns the current true quality of a version for a class.
func (t *truth) mean(version, class string) float64 {
	return t.initial[quality.Key{Version: version, Class: class}] * t.factor[version]
}

// answer draws one answer to a request of the given difficulty. quality returns the
// true quality of an answer, rating a noisy score of it.
func (t *truth) answer(rng *rand.Rand, version, class string, difficulty float64) float64 {
	mean := t.mean(version, class)
	r := t.world.Difficulty
	z := -math.Sqrt(r)*difficulty + math.Sqrt(1-r)*rng.NormFloat64()
	switch t.world.Kind {
	case Flat:
		return t.location(mean)
	case Coarse:
		if normalCDF(z) < t.location(mean) {
			return 1
		}
		return 0
	}
	return logistic(t.location(mean) + answerSpread*z)
}

// rating draws the score of one rating of an answer.
func (t *truth) rating(rng *rand.Rand, answer float64) float64 {
	return min(max(answer+t.world.Noise*rng.NormFloat64(), 0), 1)
}

// quality returns the true quality of an answer, defined as its mean rating. No other
// measure of it exists. Clamping the ratings shifts the mean away from 0 and 1.
func (t *truth) quality(answer float64) float64 {
	sd := t.world.Noise
	low, high := -answer/sd, (1-answer)/sd
	inside := normalCDF(high) - normalCDF(low)
	return answer*inside + sd*(normalPDF(low)-normalPDF(high)) + 1 - normalCDF(high)
}

// location finds the parameter of the answers' distribution that yields a mean quality.
// By kind, it is the answer itself, the share of right answers, or the mean of the
// normal distribution before the logistic function.
func (t *truth) location(mean float64) float64 {
	if at, ok := t.locations[mean]; ok {
		return at
	}
	low, high := -10.0, 10.0
	for range 60 {
		middle := (low + high) / 2
		if t.expectedQuality(middle) < mean {
			low = middle
		} else {
			high = middle
		}
	}
	t.locations[mean] = low
	return low
}

func (t *truth) expectedQuality(location float64) float64 {
	switch t.world.Kind {
	case Flat:
		return t.quality(location)
	case Coarse:
		return location*t.quality(1) + (1-location)*t.quality(0)
	}
	const steps, reach = 64, 6.0
	var sum, weight float64
	for i := range steps + 1 {
		z := -reach + 2*reach/steps*float64(i)
		w := normalPDF(z)
		sum += w * t.quality(logistic(location+answerSpread*z))
		weight += w
	}
	return sum / weight
}

func logistic(x float64) float64 { return 1 / (1 + math.Exp(-x)) }

func normalCDF(z float64) float64 { return math.Erfc(-z/math.Sqrt2) / 2 }

func normalPDF(z float64) float64 { return math.Exp(-z*z/2) / math.Sqrt(2*math.Pi) }
