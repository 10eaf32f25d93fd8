package confsync

import "time"

// maxPending is the maximum number of proofs kept for revisions that are not applied yet.
const maxPending = 8

// proofState is the applied revision and the proofs that cover it.
type proofState struct {
	rules   *rules
	started time.Duration
	applied uint64
	// table and grant are the latest proofs that cover the applied revision.
	table Proof
	grant Proof
	// pendingTable and pendingGrant are proofs of newer revisions. They count once their
	// revision is applied.
	pendingTable []Proof
	pendingGrant []Proof
	// provedSinceStart is set once the applied revision was the head at some instant since
	// this process started.
	provedSinceStart bool
	// learned are the latest revisions known to be stored, and when each became known.
	learned []learnedRevision
}

// addTableProof records a proof of the table and reports whether it is more recent.
func (k *proofState) addTableProof(p Proof) bool {
	if !p.Valid {
		return false
	}
	// A proof of an older revision is from before the applied one was accepted, and proves
	// nothing about the applied one.
	if p.Revision < k.applied {
		return false
	}
	if p.Revision > k.applied {
		k.pendingTable = addPending(k.pendingTable, p)
		return true
	}
	if !p.newer(k.table) {
		return false
	}
	k.table = p
	k.provedSinceStart = k.provedSinceStart || k.rules.sinceStart(p.At, k.started)
	return true
}

// addGrant records a proof of an outage and reports whether it is more recent.
func (k *proofState) addGrant(p Proof) bool {
	if !p.Valid {
		return false
	}
	if p.Revision > k.applied {
		k.pendingGrant = addPending(k.pendingGrant, p)
		return true
	}
	if !p.newer(k.grant) {
		return false
	}
	k.grant = p
	return true
}

// addPending adds a proof to the list, which keeps the latest proof for each of a few
// revisions.
func addPending(list []Proof, p Proof) []Proof {
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

// apply replaces the applied revision, unless the new one is not newer, and reports whether
// it did.
func (k *proofState) apply(revision uint64) bool {
	if !k.rules.mayReplace(k.applied, revision) {
		return false
	}
	k.applied = revision
	k.table = Proof{}
	tables, grants := k.pendingTable, k.pendingGrant
	k.pendingTable, k.pendingGrant = nil, nil
	for _, p := range tables {
		k.addTableProof(p)
	}
	for _, p := range grants {
		k.addGrant(p)
	}
	return true
}

// latestAt returns the instant of the latest proof of either kind.
func (k *proofState) latestAt() (time.Duration, bool) {
	if k.grant.newer(k.table) {
		return k.grant.At, true
	}
	return k.table.At, k.table.Valid
}

// tableAge returns the age of the latest proof of the table, or forever without one.
func (k *proofState) tableAge(now time.Duration) time.Duration {
	if !k.table.Valid {
		return forever
	}
	return now - k.table.At
}

const forever = time.Duration(1<<63 - 1)
