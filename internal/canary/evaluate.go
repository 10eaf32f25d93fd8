package canary

import (
	"slices"
	"strings"
	"time"
)

// Decision is a step of a rollout, or a verdict that has to be recorded.
type Decision struct {
	Order   Order
	Verdict Verdict
	// Reached is set when this call reached the verdict.
	Reached bool
	// Proposed is set if this node knows no verdict long after the limit. The verdict then takes
	// effect only if the table holds no other one.
	Proposed bool
	// Widened is set when this call let more sessions take part in the trial, Shift when
	// it began to shift all.
	Widened, Shift bool
	// Likelihood is the log likelihood ratio against the version by Evidence at Route, where
	// it is strongest; an empty route means all routes. Doubt is set if it is too strong for a
	// shift.
	Likelihood float64
	Evidence   string
	Route      string
	Doubt      bool
	// AsQuick is the log likelihood ratio of "as quick as the old version" against the
	// likeliest slowdown, by all answers.
	AsQuick float64
	// Counts are the answers of that route, Answers all answers of the new version.
	Counts  RouteCount
	Answers int64
	// settled is set once evidence has decided.
	settled bool
}

// View is what a node knows beside the answers.
type View struct {
	// Count returns how many ready upstreams have the version, and how many there are in
	// all.
	Count func(service, version string) (ofVersion, all int)
	// Versions returns the versions of which upstreams are listed; nil if that is not known.
	Versions func(service string) []string
	// Plain reports whether a service runs no models; nil for never.
	Plain func(service string) bool
	// Complete is set if the node receives the tallies of all nodes. Only then does a count
	// of no attempts in flight mean that there are none.
	Complete bool
}

// Tick evaluates the evidence. It returns the steps that this call began, and the
// verdicts that the platform's table does not hold yet.
func (c *Canary) Tick(now time.Time, view View) []Decision {
	var out []Decision
	for _, r := range c.rollouts {
		d := Decision{Order: r.order}
		r.observe(now)
		r.plain = view.Plain != nil && view.Plain(r.order.Service)
		if r.verdict == Open && view.Versions != nil {
			r.noteVersions(view.Versions(r.order.Service), now)
		}
		switch {
		case r.verdict == Open && r.awaitsVerdict:
			d.Proposed = r.proposes(now, view)
		case r.verdict == Open:
			c.countUnfinished(r, now)
			d.Reached = c.evaluate(r, &d, now, view)
		}
		d.Verdict = r.verdict
		if d.Proposed {
			d.Verdict = r.unproved(now)
		}
		if d.Proposed || r.verdict != Open && !r.written || d.Shift || d.Widened {
			out = append(out, d)
		}
	}
	slices.SortFunc(out, func(a, b Decision) int { return strings.Compare(a.Order.Service, b.Order.Service) })
	return out
}

// awaitTime is how long a node that learned of an order after its limit waits for the verdict
// of its peers.
const awaitTime = 5 * time.Second

// proposes reports whether a verdict should be recorded for an order without a known one. All nodes may
// have been lost during the trial: operators must not wait for ever.
func (r *rollout) proposes(now time.Time, view View) bool {
	if r.awaitedSince.IsZero() {
		r.awaitedSince = now
	}
	return view.Complete && now.Sub(r.awaitedSince) >= awaitTime
}

// noteVersions records since when upstreams of the order's version are listed, and whether any of others
// were.
func (r *rollout) noteVersions(versions []string, now time.Time) {
	listed := slices.Contains(versions, r.order.Target)
	switch {
	case !listed:
		r.listedSince = time.Time{}
	case r.listedSince.IsZero():
		r.listedSince = now
	}
	r.othersListed = r.othersListed || len(versions) > 1 || len(versions) == 1 && !listed
}

// onlyVersionTime is how long no upstreams of another version may be listed before there are taken to be
// none: entries that lapsed in an outage of the table come back one by one.
const onlyVersionTime = 4 * time.Second

// isOnlyVersion reports whether no upstreams of another version were listed since this node knows of the
// order. Operators stop the old version's upstreams once the new one is completed, so that it probably
// was, and the record is lost.
func (r *rollout) isOnlyVersion(now time.Time) bool {
	return !r.othersListed && !r.listedSince.IsZero() && now.Sub(r.listedSince) >= onlyVersionTime
}

// unproved returns the verdict on a version about which the answers decide nothing.
func (r *rollout) unproved(now time.Time) Verdict {
	if r.isOnlyVersion(now) {
		return Completed
	}
	return RolledBack
}

// evaluate updates the evidence, widens or shifts the trial when it is due, and reports
// whether it reached a verdict. Only a node whose view is whole completes a rollout.
func (c *Canary) evaluate(r *rollout, d *Decision, now time.Time, view View) bool {
	r.addEvidence(d, now)
	if r.verdict != Open {
		return true
	}
	if !view.Complete {
		return false
	}
	if r.shouldWiden(now, d.Answers, d.AsQuick) {
		r.widenedShare = r.widened(c.settings, now)
		d.Widened = true
	}
	ofVersion, all := view.Count(r.order.Service, r.order.Target)
	enough := d.Answers >= minAnswers && ofVersion > 0 && 3*ofVersion >= all
	good := enough && !d.Doubt && d.AsQuick >= quickThreshold
	deadline := r.deadline(c.settings)
	if good {
		// Only the bound on its requests delays the shift. The order's start is uncertain
		// by Late; a good version is not rolled back for time that may not have passed.
		deadline = deadline.Add(shiftGrace + r.order.Late)
	}
	switch {
	case !r.shiftedAt.IsZero():
	case good && r.mayShift(c.settings, now):
		r.shiftedAt = now
		d.Shift = true
	case !now.Before(deadline):
		// With doubt left or too few answers the old version stays. The operator can
		// order the new one again.
		r.verdict = RolledBack
		if !d.Doubt {
			r.verdict = r.unproved(now)
		}
		return true
	}
	if r.shiftedAt.IsZero() {
		return false
	}
	if r.atShift == nil {
		r.beginSoak()
	}
	end := r.soakEnd(c.settings, d.AsQuick)
	soaked := r.share(c.settings, now) == 1 && now.Sub(r.shiftedAt) >= r.soakTime() && r.oldInFlight() == 0
	if now.Before(end) && !(soaked && d.AsQuick >= quickThreshold) {
		return false
	}
	r.verdict = Completed
	if r.failsInSoak(d) || d.AsQuick < quickThreshold {
		r.verdict = RolledBack
	}
	return true
}
