package sim

import (
	"math"
	"math/rand/v2"

	"github.com/hickorybank/hickorybank/internal/choice/quality"
	"github.com/hickorybank/hickorybank/internal/config"
)

// The range of true qualities: raters whose scores are cut at 0 and 1 cannot
// tell what lies beyond.
const (
	lowest  = 0.05
	highest = 0.95
)

// truth holds the true qualities, which the policies do not see.
type truth struct {
	world World
	start map[quality.Key]float64
	// factor is what is left of a version's quality at present.
	factor map[string]float64
	// centre caches the places that give a mean.
	centre map[float64]float64
}

func newTruth(w World, doc *config.Document, seed uint64) *truth {
	t := &truth{world: w, start: map[quality.Key]float64{}, factor: map[string]float64{}, centre: map[float64]float64{}}
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
	own := v.PriorQuality + t.world.Wrong*rng.NormFloat64()
	for _, c := range classes {
		q := own + classWrong*rng.NormFloat64()
		t.start[quality.Key{Version: v.Name, Class: c.Name}] = min(max(q, lowest), highest)
	}
}

// mean is the present true quality.
func (t *truth) mean(version, class string) float64 {
	return t.start[quality.Key{Version: version, Class: class}] * t.factor[version]
}

// answer draws one answer to a request of a difficulty. What it is worth is
// told by quality, what raters say of it by rating.
func (t *truth) answer(rng *rand.Rand, version, class string, difficulty float64) float64 {
	mean := t.mean(version, class)
	r := t.world.Difficulty
	z := -math.Sqrt(r)*difficulty + math.Sqrt(1-r)*rng.NormFloat64()
	switch t.world.Kind {
	case Flat:
		return t.place(mean)
	case Coarse:
		if normalBelow(z) < t.place(mean) {
			return 1
		}
		return 0
	}
	return logistic(t.place(mean) + width*z)
}

// rating draws one rating of an answer.
func (t *truth) rating(rng *rand.Rand, answer float64) float64 {
	return min(max(answer+t.world.Noise*rng.NormFloat64(), 0), 1)
}

// quality is what an answer is worth: its mean rating. There is no other
// measure of it, and cut ratings pull it away from the ends.
func (t *truth) quality(answer float64) float64 {
	sd := t.world.Noise
	low, high := -answer/sd, (1-answer)/sd
	inside := normalBelow(high) - normalBelow(low)
	return answer*inside + sd*(density(low)-density(high)) + 1 - normalBelow(high)
}

// place finds the parameter of the answers' distribution that gives a mean
// quality: the answer itself, the share of right ones, or the centre along the
// logistic curve.
func (t *truth) place(mean float64) float64 {
	if at, ok := t.centre[mean]; ok {
		return at
	}
	low, high := -10.0, 10.0
	for range 60 {
		middle := (low + high) / 2
		if t.expected(middle) < mean {
			low = middle
		} else {
			high = middle
		}
	}
	t.centre[mean] = low
	return low
}

func (t *truth) expected(place float64) float64 {
	switch t.world.Kind {
	case Flat:
		return t.quality(place)
	case Coarse:
		return place*t.quality(1) + (1-place)*t.quality(0)
	}
	const steps, reach = 64, 6.0
	var sum, weight float64
	for i := range steps + 1 {
		z := -reach + 2*reach/steps*float64(i)
		w := density(z)
		sum += w * t.quality(logistic(place+width*z))
		weight += w
	}
	return sum / weight
}

func logistic(x float64) float64 { return 1 / (1 + math.Exp(-x)) }

func normalBelow(z float64) float64 { return math.Erfc(-z/math.Sqrt2) / 2 }

func density(z float64) float64 { return math.Exp(-z*z/2) / math.Sqrt(2*math.Pi) }
