package crashguard

import "time"

// entry is what a guard knows of a key.
type entry struct {
	key Key
	// parent is the key before it in the chain of the newest strike; 0 for none.
	parent Key
	// part is set for a part of prompts that requests share.
	part bool
	// struck are the crashes of upstreams that were about to answer a request with the key,
	// cleared those of them after which such a request was answered.
	struck, cleared crashSet
	// sequels are those strikes whose request was sent after all earlier ones: not even crashes
	// in quick succession then have a common cause elsewhere.
	sequels crashSet
	// clearedAt is when this node last learned that a strike was cleared.
	clearedAt time.Time
	// convictedAt is when this node convicted the key; zero if it is not convicted.
	convictedAt time.Time
	// quarantinedAt is when this node quarantined the key; zero if it is not quarantined.
	quarantinedAt time.Time
	// trials counts the requests that were let through since the first conviction or quarantine,
	// at all nodes, and may have run; trialAt is when the last one was sent, whether it ran or not.
	trials  int
	trialAt time.Time
	// inTrial is set while it is not known here whether the last trial ran.
	inTrial bool
	// recordsTrial is set if the last trial is recorded in the table before it is sent.
	recordsTrial bool
	// answered is set if the record of a key states that its requests were answered.
	answered bool
	// recorded is the part of this entry that the table holds.
	recorded recordedState
	// askAgainAt is when this node may ask for a trial again; zero for at once.
	askAgainAt time.Time
}

// blockedAt returns when the key was convicted or quarantined; zero if it is neither.
func (e *entry) blockedAt() time.Time { return later(e.convictedAt, e.quarantinedAt) }

// tried reports whether a request was let through since the first conviction.
func (e *entry) tried() bool { return !e.trialAt.IsZero() }

// live returns the strikes that count.
func (e *entry) live() crashSet { return e.struck.without(&e.cleared) }
