package fleet

import (
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/hickorybank/hickorybank/internal/notice"
	"github.com/hickorybank/hickorybank/internal/pacing"
)

// Fleet is the set of upstreams that a node knows.
type Fleet struct {
	settings Settings
	byID     map[string]*Upstream
	services map[string][]*Upstream
	// sum is the hash of the list, history the edits that led to it.
	sum     uint64
	history history
	// means are the usual work of an attempt at each service.
	means map[string]float64
	// delays are how long attempts of each kind have lately waited.
	delays map[delayKey]*delay
	// readings are how fast prompts of each kind are read.
	readings map[delayKey]*reading
	// warmUps are what upstreams of each service bear while they warm up, senders the
	// nodes among which that is shared.
	warmUps map[string]WarmUp
	senders pacing.Senders
	// evacuated are the failure domains that get no new work.
	evacuated map[string]bool
	// notices are what upstreams have said of themselves in answers.
	notices *notice.Register
}

// New returns an empty fleet.
func New(s Settings) *Fleet {
	return &Fleet{settings: s, byID: map[string]*Upstream{}, services: map[string][]*Upstream{}, means: map[string]float64{}, delays: map[delayKey]*delay{}, readings: map[delayKey]*reading{},
		warmUps: map[string]WarmUp{}, evacuated: map[string]bool{}, notices: notice.NewRegister(s.Origin)}
}

// Put adds an upstream or takes its new record, as read at a time. It reports
// whether anything that routing uses has changed.
//
// One that has started again under its ID is another upstream. It guards
// against beliefs that outlive a crash: prompt parts that the new start has not
// cached, attempts that ended with the old one, its failures and its load.
// Attempts under way keep the old upstream, so that their late ends change
// nothing of the new.
func (f *Fleet) Put(r Record, now time.Time) bool {
	known := f.byID[r.ID]
	if known != nil && known.Born != r.Born {
		f.Drop(r.ID)
		known = nil
	}
	if known == nil {
		u := &Upstream{Record: r, since: now, said: f.notices.Of(r.Start())}
		u.restSpread = f.restSpread(u)
		u.extendWarmUp(now.Add(r.Cold))
		f.replace(u)
		f.byID[r.ID] = u
		f.enlist(u)
		f.rehash(u, true)
		return true
	}
	known.kept = false
	if r.Cold > 0 {
		known.extendWarmUp(now.Add(r.Cold))
	}
	if known.Record.same(&r) {
		f.rehash(known, true)
		return false
	}
	if known.Service != r.Service {
		f.delist(known)
		known.Service = r.Service
		f.enlist(known)
	}
	known.Record = r
	f.rehash(known, true)
	return true
}

// replace marks the upstream whose address a newer one has taken over.
//
// It guards against attempts at upstreams that crashed: until their entries
// lapse they are listed beside those that have come back under new IDs, and
// each node would be turned away by each address once, at the cost of the retry
// budget. Of two that were first read together, either may be the newer. An
// entry of another service marks nobody: it may name an address that is not its
// own, and an address that has changed hands says so itself.
func (f *Fleet) replace(u *Upstream) {
	for _, old := range f.byID {
		if old.Addr == u.Addr && old.Service == u.Service && old.since.Before(u.since) {
			old.replaced = true
		}
	}
}

// Misdirected marks an upstream whose address has answered that it is not that
// one: it has ended, though it is listed until its entry lapses. It stays known,
// so that nodes which do not know of this yet agree on the list.
func (f *Fleet) Misdirected(u *Upstream) { u.replaced = true }

// Drop forgets an upstream that the table no longer lists.
func (f *Fleet) Drop(id string) bool {
	u := f.byID[id]
	if u == nil {
		return false
	}
	f.rehash(u, false)
	// Requests that run there still hold it; it takes no new ones.
	u.Draining = true
	f.delist(u)
	delete(f.byID, id)
	return true
}

// Keep marks an upstream that the table no longer lists but may list again; it
// goes on serving. It reports whether the upstream was listed until now.
func (f *Fleet) Keep(id string) bool {
	u := f.byID[id]
	if u == nil || u.kept {
		return false
	}
	u.kept = true
	f.rehash(u, false)
	return true
}

// Records returns the records that the table lists, in order of their IDs.
func (f *Fleet) Records(now time.Time) []Record {
	all := make([]Record, 0, len(f.byID))
	for _, u := range f.byID {
		if !u.kept {
			all = append(all, u.recordAt(now))
		}
	}
	slices.SortFunc(all, func(a, b Record) int { return strings.Compare(a.ID, b.ID) })
	return all
}

// StandingRecords returns the records that the table lists, with what upstreams have said of
// themselves since: those that leave are marked.
func (f *Fleet) StandingRecords(now time.Time) []Record {
	all := f.Records(now)
	for i := range all {
		all[i].Draining = f.byID[all[i].ID].leaves()
	}
	return all
}

// StandingHash is the same on lists whose StandingRecords are.
func (f *Fleet) StandingHash() uint64 {
	hash := f.sum
	for _, u := range f.byID {
		if !u.kept && u.said.Leaving() && !u.Draining {
			hash ^= xxhash.Sum64String(u.said.Start())
		}
	}
	return hash
}

// Get returns the upstream of an ID, or nil.
func (f *Fleet) Get(id string) *Upstream { return f.byID[id] }

// End counts the end of an attempt at u.
func (f *Fleet) End(u *Upstream, w *Work, result Result, now time.Time) {
	f.unqueue(u, w)
	u.inFlight--
	switch result {
	case Served:
		u.decay(now)
		u.attempts++
		u.misses = 0
	case Failed:
		u.decay(now)
		u.attempts++
		u.failures++
	case Moved:
		f.waited(w, now)
		f.blocked(u, w, now)
	case Unreached:
		u.decay(now)
		u.attempts++
		u.failures++
		u.misses++
		u.ejected = now.Add(min(ejectBase<<min(u.misses-1, 8), ejectMost))
	}
}

// Report takes an upstream's own word on its load.
func (f *Fleet) Report(u *Upstream, running, waiting int, now time.Time) {
	u.heard(running, waiting, now)
}

func (f *Fleet) enlist(u *Upstream) {
	list := append(f.services[u.Service], u)
	slices.SortFunc(list, func(a, b *Upstream) int { return strings.Compare(a.ID, b.ID) })
	f.services[u.Service] = list
}

func (f *Fleet) delist(u *Upstream) {
	list := f.services[u.Service]
	if i := slices.Index(list, u); i >= 0 {
		f.services[u.Service] = slices.Delete(slices.Clone(list), i, i+1)
	}
}

// Versions returns the versions of a service's upstreams.
func (f *Fleet) Versions(service string) []string {
	var all []string
	for _, u := range f.services[service] {
		if !slices.Contains(all, u.Version) {
			all = append(all, u.Version)
		}
	}
	return all
}
