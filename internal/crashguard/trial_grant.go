package crashguard

import "time"

// TrialRequest asks for a trial of a key. One node, the same for all that ask, grants the trials
// of a key, so that copies of a request at several nodes make one.
type TrialRequest struct {
	Key Key
	// HasResult is set if the asking node knows the result of the last trial: it ran, or no
	// upstream took it.
	HasResult bool
}

// TrialRequest returns the request for a trial of a blocked key.
func (g *Guard) TrialRequest(key Key) TrialRequest {
	e := g.blocked(key)
	return TrialRequest{Key: key, HasResult: e != nil && e.tried() && !e.inTrial}
}

// GrantTrial reports whether the asking node may make a trial now, and records that it does. A key
// that is not blocked here may be at the asking node; its trials are granted trialTimeout apart.
func (g *Guard) GrantTrial(r TrialRequest, now time.Time) bool {
	g.judge(now)
	last, granted := g.granted[r.Key]
	if e := g.blocked(r.Key); e != nil {
		if r.HasResult {
			e.inTrial = false
		}
		if at, ok := g.nextTrial(e); !ok || now.Before(at) {
			return false
		}
		e.trialAt, e.inTrial, e.recordsTrial = now, true, false // the asking node records it
	} else if granted && now.Sub(last) < trialTimeout {
		return false
	}
	g.noteGrant(r.Key, now)
	return true
}

// maxGrants bounds the grants in memory.
const maxGrants = 256

// noteGrant records a grant, and drops those that no longer matter.
func (g *Guard) noteGrant(key Key, now time.Time) {
	if len(g.granted) >= maxGrants {
		for k, at := range g.granted {
			if now.Sub(at) >= trialTimeout || len(g.granted) >= maxGrants {
				delete(g.granted, k)
			}
		}
	}
	g.granted[key] = now
}

// DenyTrial records that this node may make no trial of a key now.
func (g *Guard) DenyTrial(key Key, now time.Time) {
	if e := g.blocked(key); e != nil {
		e.askAgainAt = now.Add(trialAskInterval)
	}
}
