package membership

import (
	"log/slog"
	"math"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hickorybank/hickorybank/internal/event"
	"github.com/hickorybank/hickorybank/internal/platform"
)

// never is later than any time, in nanoseconds since 1970.
const never = math.MaxInt64

// Tracker maintains the current [View]. It is safe for concurrent use and has no goroutine of
// its own: a suspect due for a retry becomes live when the view is next read.
type Tracker struct {
	settings Settings
	deps     Deps
	view     atomic.Pointer[View]
	// nextRetry is when the next suspect is due for a retry, in nanoseconds since 1970.
	nextRetry atomic.Int64
	// failing are the addresses of VMs with recorded failures. It lets the frequent
	// responses of other VMs be ignored without a lock.
	failing atomic.Pointer[map[string]bool]

	mu   sync.Mutex
	core *Core
}

// New returns a tracker that contains only its own VM.
func New(s Settings, d Deps) *Tracker {
	t := &Tracker{settings: s.WithDefaults(), deps: d, core: NewCore(s, d.Self)}
	t.failing.Store(&map[string]bool{})
	t.nextRetry.Store(never)
	t.view.Store(t.core.View(time.Now()))
	return t
}

// View returns the current view. It does not block: while another call rebuilds the view, it
// returns the previous one.
func (t *Tracker) View() *View {
	if now := time.Now(); now.UnixNano() >= t.nextRetry.Load() && t.mu.TryLock() {
		t.rebuildView(now)
		t.mu.Unlock()
	}
	return t.view.Load()
}

// SetList applies a VM list of the platform, read at readAt. A list older than the last one is
// ignored.
func (t *Tracker) SetList(vms []platform.VM, readAt time.Time) {
	t.update(time.Now(), func() bool { return t.core.SetList(vms, readAt) })
}

// Observe records an observation of the VM at an address, which may be its address for
// callers, for requests or for peers.
func (t *Tracker) Observe(addr string, o Outcome) {
	if o == Reached && !(*t.failing.Load())[addr] {
		return
	}
	now := time.Now()
	t.update(now, func() bool { return t.core.Observe(addr, o, now) })
}

// ObserveLoad records the load in [0,1] that an entry VM reports.
func (t *Tracker) ObserveLoad(id string, load float64) {
	t.update(time.Now(), func() bool {
		t.core.ObserveLoad(id, load)
		return true
	})
}

// MarkLeaving marks the VM with an ID as leaving, until the list or the VM itself reports
// otherwise.
func (t *Tracker) MarkLeaving(id string) {
	now := time.Now()
	t.update(now, func() bool { return t.core.ObserveID(id, ReportedLeaving, now) })
}

// MarkServing records that the VM with an ID reported that it is serving.
func (t *Tracker) MarkServing(id string) {
	now := time.Now()
	t.update(now, func() bool { return t.core.ObserveID(id, ReportedServing, now) })
}

// Addresses returns the entry addresses that a caller should use, and for how long.
func (t *Tracker) Addresses(caller string, _ time.Time) Answer {
	return Answer{Addresses: pickAddresses(t.View().Entries, caller, t.settings.AnswerSize), TTL: t.settings.AnswerTTL}
}

// update alters the core and renews the view if that is called for.
func (t *Tracker) update(now time.Time, mutate func() bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	changed := mutate()
	failing := t.core.failingAddrs()
	t.failing.Store(&failing)
	if changed {
		t.rebuildView(now)
	}
}

// rebuildView replaces the view and reports the changes; t.mu is held.
func (t *Tracker) rebuildView(now time.Time) {
	t.nextRetry.Store(never)
	if next := t.core.nextRetry(now); !next.IsZero() {
		t.nextRetry.Store(next.UnixNano())
	}
	old, fresh := t.view.Load(), t.core.View(now)
	t.view.Store(fresh)
	t.logChanges(old, fresh)
	if t.deps.OnChange != nil {
		t.deps.OnChange(fresh)
	}
}

func (t *Tracker) logChanges(old, fresh *View) {
	for _, c := range changes(old, fresh) {
		e := event.MemberLive
		switch c.to {
		case Leaving:
			e = event.MemberLeaving
		case Suspect:
			e = event.MemberSuspect
		}
		e.Log(t.deps.Log, slog.String("id", c.id), slog.String("was", c.from))
	}
}
