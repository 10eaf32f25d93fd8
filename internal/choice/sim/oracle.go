package sim

import (
	"cmp"
	"math/rand/v2"
	"slices"

	"github.com/hickorybank/hickorybank/internal/config"
)

// oracleSamples is the number of requests sampled to evaluate a cascade.
const oracleSamples = 40_000

// option is the mean cost and quality of one way to run a class: a version or a cascade.
type option struct {
	cost    float64
	quality float64
}

// oracle computes the cheapest mix of versions for a target from the true qualities.
type oracle struct {
	truth    *truth
	snapshot *config.Snapshot
	// hulls caches the corners of the upper hull of the serving versions' options.
	hulls map[hullKey][]option
}

type hullKey struct {
	class    string
	cascades bool
}

func newOracle(t *truth, s *config.Snapshot) *oracle {
	return &oracle{truth: t, snapshot: s, hulls: map[hullKey][]option{}}
}

// invalidate clears the cache after a change of the true qualities.
func (o *oracle) invalidate() { clear(o.hulls) }

// cost returns the mean cost of a request in the cheapest mix that meets the target, and
// whether any mix meets it. A staged version may get up to its share. The oracle knows
// mean qualities but not those of single answers, so it needs ratings for cascades.
func (o *oracle) cost(class *config.Class, target float64, ratings bool) (float64, bool) {
	hull := o.hull(class, ratings && class.Cascade && o.snapshot.Preset().Cascades)
	best, met := costAt(hull, target)
	for _, v := range o.versions(class, config.Staged) {
		const steps = 10
		for i := 1; i <= steps; i++ {
			share := v.Share * float64(i) / steps
			servingTarget := (target - share*o.truth.mean(v.Name, class.Name)) / (1 - share)
			cost, ok := costAt(hull, servingTarget)
			cost = share*price(v, class.Name) + (1-share)*cost
			if ok && !met || ok == met && cost < best {
				best, met = cost, ok
			}
		}
	}
	return best, met
}

func (o *oracle) hull(class *config.Class, cascades bool) []option {
	key := hullKey{class: class.Name, cascades: cascades}
	if h, ok := o.hulls[key]; ok {
		return h
	}
	serving := o.versions(class, config.Serving)
	var options []option
	for _, v := range serving {
		options = append(options, option{price(v, class.Name), o.truth.mean(v.Name, class.Name)})
	}
	if cascades {
		for _, first := range serving {
			for _, fallback := range serving {
				if price(first, class.Name) < price(fallback, class.Name) {
					options = append(options, o.cascadeOptions(first, fallback, class.Name)...)
				}
			}
		}
	}
	h := upperHull(options)
	o.hulls[key] = h
	return h
}

func (o *oracle) versions(class *config.Class, state config.VersionState) []*config.Version {
	var list []*config.Version
	for i := range o.snapshot.Doc.Models {
		m := &o.snapshot.Doc.Models[i]
		if class.Model != "" && class.Model != m.Name {
			continue
		}
		for j := range m.Versions {
			if m.Versions[j].State == state {
				list = append(list, &m.Versions[j])
			}
		}
	}
	return list
}

// cascadeOptions returns the options of a cascade of two versions, over a range of
// thresholds.
func (o *oracle) cascadeOptions(first, fallback *config.Version, class string) []option {
	type sample struct{ first, fallback, rating float64 }
	rng := rand.New(rand.NewPCG(1, 2))
	samples := make([]sample, oracleSamples)
	var firstSum float64
	for i := range samples {
		difficulty := rng.NormFloat64()
		a := o.truth.answer(rng, first.Name, class, difficulty)
		b := o.truth.answer(rng, fallback.Name, class, difficulty)
		samples[i] = sample{o.truth.quality(a), o.truth.quality(b), o.truth.rating(rng, a)}
		firstSum += samples[i].first
	}
	slices.SortFunc(samples, func(a, b sample) int { return cmp.Compare(a.rating, b.rating) })
	var options []option
	sum := firstSum
	for i := range samples {
		sum += samples[i].fallback - samples[i].first
		if i%(oracleSamples/200) == 0 {
			fallbackShare := float64(i+1) / oracleSamples
			options = append(options, option{price(first, class) + fallbackShare*price(fallback, class), sum / oracleSamples})
		}
	}
	return options
}

func price(v *config.Version, class string) float64 {
	l := loads[class]
	return (float64(l.inputTokens)*float64(v.InputCost) + float64(l.outputTokens)*float64(v.OutputCost)) / 1000
}

// costAt interpolates the cost at a target quality on the hull. If no option reaches the
// target, it returns the cost of the option with the highest quality and false.
func costAt(hull []option, target float64) (float64, bool) {
	if target <= hull[0].quality {
		return hull[0].cost, true
	}
	for i := 1; i < len(hull); i++ {
		a, b := hull[i-1], hull[i]
		if target <= b.quality {
			return a.cost + (b.cost-a.cost)*(target-a.quality)/(b.quality-a.quality), true
		}
	}
	return hull[len(hull)-1].cost, false
}

func upperHull(options []option) []option {
	slices.SortFunc(options, func(a, b option) int {
		return cmp.Or(cmp.Compare(a.cost, b.cost), cmp.Compare(b.quality, a.quality))
	})
	var h []option
	for _, w := range options {
		if len(h) > 0 && w.quality <= h[len(h)-1].quality {
			continue
		}
		for n := len(h); n >= 2 && (h[n-1].quality-h[n-2].quality)*(w.cost-h[n-2].cost) <= (w.quality-h[n-2].quality)*(h[n-1].cost-h[n-2].cost); n-- {
			h = h[:n-1]
		}
		h = append(h, w)
	}
	return h
}
