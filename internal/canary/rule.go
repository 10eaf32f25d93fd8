package canary

import "time"

// Rule says which versions may serve a request of a service.
type Rule struct {
	// Version is the only version that may serve; empty for any.
	Version string
	// Excluded lists versions that may not serve.
	Excluded []string
	// UpstreamPart is the part of the version's upstreams to use, in (0,1); 0 means all.
	UpstreamPart float64
	// Soak limits the upstreams of the version while all sessions go to it and its verdict is
	// open; nil for no limit.
	Soak *Soak
}

// Caller identifies who sends a request: a session, or a request without one.
type Caller struct {
	// Hash decides whether the session or request takes part in a trial.
	Hash uint64
	// Session is set if more requests with the same hash may follow.
	Session bool
}

// Rule returns the rule for a caller's request. It also notes sessions that stay on the
// old version.
func (c *Canary) Rule(service string, caller Caller, now time.Time) Rule {
	rule, staysOnOld := c.rule(service, caller, now)
	if staysOnOld {
		c.pins.add(caller.Hash, now)
	}
	return rule
}

// Preview returns the same rule and notes nothing.
func (c *Canary) Preview(service string, caller Caller, now time.Time) Rule {
	rule, _ := c.rule(service, caller, now)
	return rule
}

// rule returns the rule for a request, and whether its session has to stay on the old version.
func (c *Canary) rule(service string, caller Caller, now time.Time) (rule Rule, staysOnOld bool) {
	inTrial := float64(caller.Hash%shareScale) < c.settings.ShareBound*canaryPart*shareScale
	pinned := caller.Session && inTrial && c.pins.contains(caller.Hash, now)
	r := c.rollouts[service]
	onOld := r == nil || r.verdict == Open && (now.Sub(r.started) < trialDelay || r.sessionsFixed(now) && pinned)
	staysOnOld = caller.Session && inTrial && onOld
	switch {
	case r == nil:
		return Rule{}, staysOnOld
	case onOld:
		return Rule{Excluded: c.excluded(service, r, now)}, staysOnOld
	case r.verdict == Completed:
		return Rule{Version: r.order.Target}, staysOnOld
	}
	share := r.share(c.settings, now)
	if float64(caller.Hash%shareScale) >= share*shareScale || c.overexposed(r, now) {
		return Rule{Excluded: c.excluded(service, r, now)}, staysOnOld
	}
	if !r.shiftedAt.IsZero() {
		return Rule{Version: r.order.Target, Soak: &Soak{Age: now.Sub(r.shiftedAt)}}, staysOnOld
	}
	return Rule{Version: r.order.Target, UpstreamPart: upstreamPart(share)}, staysOnOld
}

// upstreamPart is the part of the new version's upstreams that serve its share of the
// sessions; 0 means all.
//
// In proportion to the share, the upstreams would be as busy as after the shift. But with
// only one or two of them there is no choice where to place an attempt: answers stall
// behind long prompts more often than the old version's, and a good version would be
// rolled back for it. With more upstreams each is less busy than after the shift, so
// faults that show only under load are looked for in the soak after it.
func upstreamPart(share float64) float64 {
	if part := trialSpread * share; part < 1 {
		return part
	}
	return 0
}

// excluded returns the versions that do not serve the old version's requests: the one on trial, unless
// there is no other, and those that were rolled back before.
func (c *Canary) excluded(service string, r *rollout, now time.Time) []string {
	var versions []string
	if r.verdict != Open || !r.isOnlyVersion(now) {
		versions = append(versions, r.order.Target)
	}
	for _, v := range c.rolledBack(service) {
		if v != r.order.Target {
			versions = append(versions, v)
		}
	}
	return versions
}

// overexposed reports whether the new version's requests, over all nodes as far as known
// here, are near the bound.
//
// This limits the effect of a few large sessions whose hashes fall into the trial: they
// raise the new version's share of the requests above its share of the sessions. The sum
// over all nodes is needed: a node that used only its own few requests turned sessions
// back although the total was well within the bound.
func (c *Canary) overexposed(r *rollout, now time.Time) bool {
	if !r.shiftedAt.IsZero() {
		return false
	}
	requests, exposed := r.exposure()
	bound := c.settings.ShareBound*capPart*requests + slackPart*c.settings.Slack
	if r.widenedShare > 0 {
		bound = max(bound, r.trialBound(c.settings, now))
	}
	return exposed > bound
}
