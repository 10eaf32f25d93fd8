package canary

import "time"

// Rule is which versions may serve a request of a service.
type Rule struct {
	// Version is the only version that may serve; empty for any.
	Version string
	// Not are versions that may not serve.
	Not []string
	// Part is the part of the version's upstreams to use; 0 for all.
	Part float64
}

// Caller is who asks: a session, or a request of its own.
type Caller struct {
	// Hash places the session or the request.
	Hash uint64
	// Session tells whether others with the same hash may follow.
	Session bool
}

// Rule returns the rule for a caller's request.
func (c *Canary) Rule(service string, caller Caller, now time.Time) Rule {
	inTrial := float64(caller.Hash%shareScale) < c.settings.ShareBound*canaryPart*shareScale
	pinned := caller.Session && inTrial && c.pins.has(caller.Hash, now)
	r := c.rollouts[service]
	old := r == nil || r.verdict == Open && (now.Sub(r.started) < pinHold || r.watched(now) && pinned)
	if caller.Session && inTrial && old {
		c.pins.note(caller.Hash, now)
	}
	switch {
	case r == nil:
		return Rule{}
	case old:
		return Rule{Not: c.without(service, r)}
	case r.verdict == Completed:
		return Rule{Version: r.order.Target}
	}
	share := r.share(c.settings, now)
	if float64(caller.Hash%shareScale) >= share*shareScale || c.overexposed(r) {
		return Rule{Not: c.without(service, r)}
	}
	return Rule{Version: r.order.Target, Part: partOf(share)}
}

// partOf is the part of the new version's upstreams that serve a share of the
// sessions.
//
// As many as its share would be as busy as they will be later. But one or two
// upstreams leave no choice where to place an attempt: their answers stall
// behind long prompts more often than the old version's, and a good version
// would be turned away for it. With more, they are calmer than later; what shows
// only under load is watched for after the shift.
func partOf(share float64) float64 {
	if part := trialSpread * share; part < 1 {
		return part
	}
	return 0
}

// without returns the versions that the old version's requests keep away from:
// the one on trial, and those that were rolled back before.
func (c *Canary) without(service string, r *rollout) []string {
	return append([]string{r.order.Target}, c.bad[service]...)
}

// overexposed tells whether the new version's requests are near the bound, over
// all nodes as far as this one has heard.
//
// It guards against a few large sessions that are hashed to the new version:
// they would lift its share of the requests above its share of the sessions. A
// single node sees too few requests to tell: where it went by its own alone, it
// turned sessions back in the middle although all nodes together were well
// within the bound.
func (c *Canary) overexposed(r *rollout) bool {
	if !r.grown.IsZero() {
		return false
	}
	share := capPart
	if !r.widened.IsZero() {
		share = wideCapPart
	}
	requests, exposed := r.exposure()
	return exposed > c.settings.ShareBound*share*requests+slackPart*c.settings.Slack
}
