package fleet

import (
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/hickorybank/hickorybank/internal/hedge"
	"github.com/hickorybank/hickorybank/internal/notice"
	"github.com/hickorybank/hickorybank/internal/pacing"
	"github.com/hickorybank/hickorybank/internal/revision"
)

// Fleet is the set of upstreams that a node knows. It is not safe for concurrent use.
type Fleet struct {
	settings Settings
	byID     map[string]*Upstream
	byAddr   addressIndex
	services map[string]*serviceIndex
	// listHash is the hash of the list; history holds the changes that led to it. revision is
	// the table's revision of the latest ones.
	listHash  uint64
	revision  revision.Revision
	history   history
	lastEdits knownEdits
	// profiles are the shared fields of records, by key.
	profiles map[string]recordProfile
	// meanWorks holds the mean work of an attempt, by service.
	meanWorks map[string]float64
	// waitEstimates holds the typical waits, by group of attempts.
	waitEstimates map[workloadKey]*waitEstimate
	// prefillEstimates holds the prefill speeds, by group of attempts.
	prefillEstimates map[workloadKey]*prefillEstimate
	// warmUps holds the rate bounds during warm-up, by service. senders are the nodes that
	// share upstreams' rates.
	warmUps map[string]WarmUp
	senders pacing.Senders
	// evacuated holds the failure domains that get no new work.
	evacuated map[string]bool
	// notices holds what upstreams announced in their responses.
	notices *notice.Register
	// inUse are the upstreams with attempts of this node in progress.
	inUse map[*Upstream]struct{}
	// byFlightKey finds upstreams by their keys in a [Flight].
	byFlightKey map[uint32]*Upstream
	// flights describes the latest in-flight attempts of other nodes.
	flights flightRound
	// dropped holds what is known of dropped incarnations. restores counts how often the table was
	// restored from an older copy, restoredAt is when that was last learned.
	dropped    map[string]droppedUpstream
	restores   int
	restoredAt time.Time
	// usual holds the usual pauses between events. observed are the upstreams whose speed this
	// node observed lately; speedsSentAt is when that was last exchanged.
	usual        usualPauses
	observed     map[*Upstream]struct{}
	speedsSentAt time.Time
	// closedAt holds when this node last found an upstream's address closed.
	closedAt map[*Upstream]time.Time
	// closedElsewhere are the flight keys of the upstreams whose addresses other nodes found closed,
	// as of the latest flight.
	closedElsewhere []uint32
	// prefix is what is known of prefix blocks.
	prefix prefixState
	// loadReported are the services of which an upstream has reported its load; plain holds the
	// response times of those that run no models.
	loadReported map[string]bool
	plain        map[string]*hedge.Quantile
	// examined counts the upstreams that choices have looked at.
	examined uint64
	// inspecting is set during [Fleet.Inspect].
	inspecting bool
}

// New returns an empty fleet.
func New(s Settings) *Fleet {
	return &Fleet{
		settings: s, byID: map[string]*Upstream{}, byAddr: addressIndex{}, services: map[string]*serviceIndex{},
		meanWorks: map[string]float64{}, waitEstimates: map[workloadKey]*waitEstimate{}, prefillEstimates: map[workloadKey]*prefillEstimate{},
		warmUps: map[string]WarmUp{}, evacuated: map[string]bool{}, notices: notice.NewRegister(s.Origin),
		profiles: map[string]recordProfile{}, inUse: map[*Upstream]struct{}{}, byFlightKey: map[uint32]*Upstream{},
		dropped: map[string]droppedUpstream{}, observed: map[*Upstream]struct{}{}, closedAt: map[*Upstream]time.Time{},
		prefix:       prefixState{residences: map[string]*residence{}},
		loadReported: map[string]bool{}, plain: map[string]*hedge.Quantile{},
	}
}

// Put adds an upstream or updates its record. It reports whether anything that routing uses
// has changed.
//
// A record with another start time under a known ID is a new incarnation, which replaces
// the upstream. This discards what holds only for the crashed process: cached prefix
// blocks, attempts in progress, failures and load. Attempts in progress keep the old
// upstream, so that their late ends do not affect the new one.
func (f *Fleet) Put(r Record, now time.Time) bool {
	known := f.byID[r.ID]
	if known != nil && known.Born != r.Born {
		f.Drop(r.ID)
		known = nil
	}
	if known == nil {
		f.shareProfile(&r)
		u := &Upstream{Record: r, firstSeen: now, announced: f.notices.Known(r.Incarnation()), placement: xxhash.Sum64String(r.ID), flights: &f.flights, usage: unused}
		u.backoffJitter = f.backoffJitter(u)
		f.markPredecessors(u)
		f.recallDropped(u, now)
		f.byID[r.ID] = u
		f.byFlightKey[flightKey(&u.Record)] = u
		f.addToIndexes(u)
		if r.Cold > 0 {
			f.extendWarmUp(u, now.Add(r.Cold))
		}
		f.updateListHash(u, true)
		return true
	}
	known.unlisted = false
	if r.Cold > 0 {
		f.extendWarmUp(known, now.Add(r.Cold))
	}
	if known.Record.sameRouting(&r) {
		f.updateListHash(known, true)
		return false
	}
	f.removeFromIndexes(known)
	f.shareProfile(&r)
	known.hasLeft = known.hasLeft || known.Draining
	known.Record = r
	f.addToIndexes(known)
	f.updateListHash(known, true)
	return true
}

// shareProfile lets a record share the memory of fields that are equal in many records: each
// message that is decoded has its own copy of them.
func (f *Fleet) shareProfile(r *Record) {
	key := r.profileKey()
	p, known := f.profiles[key]
	if !known {
		if len(f.profiles) >= maxProfiles {
			clear(f.profiles)
		}
		p = recordProfile{r.Service, r.Domain, r.Version, r.Slots, r.Models}
		f.profiles[key] = p
	}
	r.Service, r.Domain, r.Version, r.Models = p.Service, p.Domain, p.Version, p.Models
}

// maxProfiles bounds the profiles that are remembered.
const maxProfiles = 4096

// markPredecessors marks the upstreams whose address u has taken over as replaced.
//
// Crashed upstreams stay listed until their entries expire, beside their successors with
// new IDs. Without the mark, each node would be rejected once by each such address, at the
// cost of the retry budget. If two upstreams were first listed together, either may be the
// newer one. An entry of another service marks none: its address may be wrong, and an
// address with a new owner reports that itself.
func (f *Fleet) markPredecessors(u *Upstream) {
	for old := f.byAddr[u.Addr]; old != nil; old = old.nextAtAddr {
		f.examined++
		if old.Service == u.Service && old.firstSeen.Before(u.firstSeen) {
			old.replaced = true
		}
	}
}

// MarkReplaced marks an upstream whose address responded that it belongs to another one.
// The upstream has ended, but it stays listed until its entry expires. It is not removed
// here, so that all nodes agree on the list.
func (f *Fleet) MarkReplaced(u *Upstream) { u.replaced = true }

// Drop removes an upstream that the table no longer lists. It reports whether the upstream
// was known.
func (f *Fleet) Drop(id string) bool {
	u := f.byID[id]
	if u == nil {
		return false
	}
	f.updateListHash(u, false)
	f.rememberDropped(u)
	// Attempts in progress still refer to it; it gets no new ones.
	u.Draining = true
	f.removeFromIndexes(u)
	delete(f.byID, id)
	if key := flightKey(&u.Record); f.byFlightKey[key] == u {
		delete(f.byFlightKey, key)
	}
	delete(f.inUse, u)
	delete(f.observed, u)
	delete(f.closedAt, u)
	return true
}

// MarkUnlisted marks an upstream as unlisted: the table does not list it now but may list
// it again. The upstream continues to serve. MarkUnlisted reports whether the upstream was
// listed before.
func (f *Fleet) MarkUnlisted(id string) bool {
	u := f.byID[id]
	if u == nil || u.unlisted {
		return false
	}
	u.unlisted = true
	f.updateListHash(u, false)
	return true
}

// Records returns the records that the table lists, sorted by ID.
func (f *Fleet) Records(now time.Time) []Record {
	all := make([]Record, 0, len(f.byID))
	for _, u := range f.byID {
		if !u.unlisted {
			all = append(all, u.recordAt(now))
		}
	}
	slices.SortFunc(all, func(a, b Record) int { return strings.Compare(a.ID, b.ID) })
	return all
}

// EffectiveRecords returns the records that the table lists, sorted by ID, with Draining
// set for all upstreams that are leaving by their own responses.
func (f *Fleet) EffectiveRecords(now time.Time) []Record {
	all := f.Records(now)
	for i := range all {
		all[i].Draining = f.byID[all[i].ID].isLeaving()
	}
	return all
}

// EffectiveHash returns a hash of EffectiveRecords.
func (f *Fleet) EffectiveHash() uint64 {
	hash := f.listHash
	for _, u := range f.byID {
		if !u.unlisted && u.announced.Leaving() && !u.Draining {
			hash ^= xxhash.Sum64String(u.Incarnation())
		}
	}
	return hash
}

// Get returns the upstream with an ID, or nil.
func (f *Fleet) Get(id string) *Upstream { return f.byID[id] }

// HasAddr reports whether an upstream is known at a host and port.
func (f *Fleet) HasAddr(addr string) bool { return f.byAddr[addr] != nil }

// ReportLoad records the load that an upstream reported: its running and waiting requests.
func (f *Fleet) ReportLoad(u *Upstream, running, waiting int, now time.Time) {
	f.loadReported[u.Service] = true
	u.setReportedLoad(running, waiting, now)
}

func (f *Fleet) addToIndexes(u *Upstream) {
	if f.services[u.Service] == nil {
		f.services[u.Service] = newServiceIndex()
	}
	f.services[u.Service].add(u)
	f.byAddr.add(u)
	if u.limited() || !u.warmUpUntil.IsZero() {
		f.services[u.Service].addRateBound(u)
	}
}

func (f *Fleet) removeFromIndexes(u *Upstream) {
	f.services[u.Service].remove(u)
	f.byAddr.remove(u)
}

// Versions returns the distinct versions of a service's upstreams, sorted.
func (f *Fleet) Versions(service string) []string { return f.services[service].versions() }
