package confsync

import "time"

// maxPending bounds the proofs of revisions that are not applied yet.
const maxPending = 8

// knowledge is what this node has applied and what it can prove.
type knowledge struct {
	rules   *rules
	started time.Duration
	applied uint64
	// table and grant are the youngest proofs that cover the applied revision.
	table Proof
	grant Proof
	// pendingTable and pendingGrant are proofs of newer revisions, which count
	// once these are applied.
	pendingTable []Proof
	pendingGrant []Proof
	// provedSinceStart says that what was applied here is as new as the head
	// was at some instant since this process started.
	provedSinceStart bool
	// learned are the newest revisions heard of, and when.
	learned []learning
}

// hearTable takes a proof of the table; it returns whether it is newer.
func (k *knowledge) hearTable(p Proof) bool {
	if !p.Valid {
		return false
	}
	// An older revision than ours proves that the read came before ours was
	// accepted: it says nothing of the present.
	if p.Revision < k.applied {
		return false
	}
	if p.Revision > k.applied {
		k.pendingTable = pend(k.pendingTable, p)
		return true
	}
	if !p.newer(k.table) {
		return false
	}
	k.table = p
	k.provedSinceStart = k.provedSinceStart || k.rules.sinceStart(p.At, k.started)
	return true
}

// hearGrant takes a proof of an outage; it returns whether it is newer.
func (k *knowledge) hearGrant(p Proof) bool {
	if !p.Valid {
		return false
	}
	if p.Revision > k.applied {
		k.pendingGrant = pend(k.pendingGrant, p)
		return true
	}
	if !p.newer(k.grant) {
		return false
	}
	k.grant = p
	return true
}

// pend keeps the youngest proof of each of a few revisions.
func pend(list []Proof, p Proof) []Proof {
	for i := range list {
		if list[i].Revision == p.Revision {
			if p.newer(list[i]) {
				list[i] = p
			}
			return list
		}
	}
	list = append(list, p)
	if len(list) > maxPending {
		list = list[1:]
	}
	return list
}

// apply takes note that a revision has replaced the applied one.
func (k *knowledge) apply(revision uint64) bool {
	if !k.rules.upward(k.applied, revision) {
		return false
	}
	k.applied = revision
	k.table = Proof{}
	tables, grants := k.pendingTable, k.pendingGrant
	k.pendingTable, k.pendingGrant = nil, nil
	for _, p := range tables {
		k.hearTable(p)
	}
	for _, p := range grants {
		k.hearGrant(p)
	}
	return true
}

// youngest is the instant of the youngest proof of either kind.
func (k *knowledge) youngest() (time.Duration, bool) {
	if k.grant.newer(k.table) {
		return k.grant.At, true
	}
	return k.table.At, k.table.Valid
}

// tableAge is the age of the youngest proof of the table.
func (k *knowledge) tableAge(now time.Duration) time.Duration {
	if !k.table.Valid {
		return forever
	}
	return now - k.table.At
}

const forever = time.Duration(1<<63 - 1)
