package canary

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

const (
	// upstreamClasses is the number of classes into which the upstreams of a version are hashed.
	upstreamClasses = 16
	// minClassDelays is how many delays show that a class is slow.
	minClassDelays = 3
	// slowClassShare is the share of slow delays from which a class is slow itself. A version
	// that is slow has such answers in all classes.
	slowClassShare = 0.6
	// maxSlowClassPart is the largest part of the delays that slow classes may have. With more,
	// the version is slow.
	maxSlowClassPart = 0.5
	// othersQuickThreshold is the log likelihood ratio below which the other classes are quick.
	othersQuickThreshold = 1.0
)

// ClassCounts counts the new version's delays by class of upstream and by grade.
type ClassCounts [upstreamClasses][measures]DelayCounts

func (c *ClassCounts) count(upstream string, m Measure, grade int) {
	c[xxhash.Sum64String(upstream)%upstreamClasses][m][grade]++
}

func (c *ClassCounts) add(other *ClassCounts) {
	for i := range c {
		for m := range measures {
			c[i][m].add(&other[i][m])
		}
	}
}

// withoutSlow returns the counts of the classes that are not slow themselves; trimmed is the
// number of the others.
//
// A trial uses few upstreams. One with a slow machine would make a good version look slow, while
// the old version has others to avoid such a one.
func (c *ClassCounts) withoutSlow() (rest [measures]DelayCounts, trimmed int) {
	type class struct{ total, slow int64 }
	of := make([]class, upstreamClasses)
	order := make([]int, upstreamClasses)
	all := int64(0)
	for i := range c {
		order[i] = i
		for m := range measures {
			of[i].total += c[i][m].total()
			of[i].slow += c[i][m].slow()
		}
		all += of[i].total
	}
	slices.SortFunc(order, func(a, b int) int { return cmp.Compare(of[b].slow, of[a].slow) })
	left := maxSlowClassPart * float64(all)
	for _, i := range order {
		n := float64(of[i].total)
		if n >= minClassDelays && float64(of[i].slow) > slowClassShare*n && n <= left {
			left -= n
			trimmed++
			continue
		}
		for m := range measures {
			rest[m].add(&c[i][m])
		}
	}
	return rest, trimmed
}

// otherClasses compares the classes of upstreams that are not slow themselves with the old
// version.
type otherClasses struct {
	// trimmed is the number of classes that are left out.
	trimmed int
	// likelihood is the log likelihood ratio against the version, asQuick the one for it.
	likelihood, asQuick float64
}

// explainSlowness reports whether the slow delays come from a few upstreams, since the others are
// quick.
func (o otherClasses) explainSlowness() bool {
	return o.trimmed > 0 && o.likelihood < othersQuickThreshold
}

// compareClasses compares the classes that are not slow; all are the counts of all routes.
func (r *rollout) compareClasses(all RouteCount) otherClasses {
	classes := r.own.Classes
	for _, t := range r.peers {
		classes.add(&t.Classes)
	}
	rest, trimmed := classes.withoutSlow()
	var total slowdownScores
	for m := range measures {
		usual := usualShares([delayGrades]float64{}, all.Delays[m].Base)
		total.add(scores(usual, rest[m].since(DelayCounts{})))
	}
	return otherClasses{trimmed: trimmed, likelihood: total.mixture(), asQuick: -total.max()}
}
