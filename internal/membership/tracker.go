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

// Tracker keeps the current [View]. It is safe for concurrent use and has no
// goroutine of its own: a suspect whose time is over comes back with the next
// look at the view.
type Tracker struct {
	settings Settings
	deps     Deps
	view     atomic.Pointer[View]
	// trial is when the next suspect's time is over, in nanoseconds since
	// 1970.
	trial atomic.Int64
	// accused are the addresses of VMs against which something stands, so that
	// the many answers of the others cost no lock.
	accused atomic.Pointer[map[string]bool]

	mu   sync.Mutex
	core *Core
}

// New returns a tracker that knows only its own VM.
func New(s Settings, d Deps) *Tracker {
	t := &Tracker{settings: s.WithDefaults(), deps: d, core: NewCore(s, d.Self)}
	t.accused.Store(&map[string]bool{})
	t.trial.Store(never)
	t.view.Store(t.core.View(time.Now()))
	return t
}

// View returns the current picture. It does not wait: while another call
// renews the picture it returns the last one.
func (t *Tracker) View() *View {
	if now := time.Now(); now.UnixNano() >= t.trial.Load() && t.mu.TryLock() {
		t.renew(now)
		t.mu.Unlock()
	}
	return t.view.Load()
}

// SetList takes an answer of the platform's list, read at that time. An older
// one than the last is ignored.
func (t *Tracker) SetList(vms []platform.VM, readAt time.Time) {
	t.change(time.Now(), func() bool { return t.core.SetList(vms, readAt) })
}

// Observe takes what was seen of the VM at an address (for callers, for
// requests or for peers).
func (t *Tracker) Observe(addr string, o Outcome) {
	if o == Reached && !(*t.accused.Load())[addr] {
		return
	}
	now := time.Now()
	t.change(now, func() bool { return t.core.Observe(addr, o, now) })
}

// ObserveLoad takes the load in [0,1] that an entry VM reports of itself.
func (t *Tracker) ObserveLoad(id string, load float64) {
	t.change(time.Now(), func() bool {
		t.core.ObserveLoad(id, load)
		return true
	})
}

// MarkLeaving marks a VM as leaving by its id; it stays so until the list or
// the VM's own word says otherwise.
func (t *Tracker) MarkLeaving(id string) {
	now := time.Now()
	t.change(now, func() bool { return t.core.ObserveID(id, SaidLeaving, now) })
}

// MarkServing takes the word of a VM that it serves.
func (t *Tracker) MarkServing(id string) {
	now := time.Now()
	t.change(now, func() bool { return t.core.ObserveID(id, SaidServing, now) })
}

// Addresses answers which entry addresses the caller should use.
func (t *Tracker) Addresses(caller string, _ time.Time) Answer {
	return Answer{Addresses: spread(t.View().Entries, caller, t.settings.AnswerSize), TTL: t.settings.AnswerTTL}
}

// change alters the core and renews the view if that is called for.
func (t *Tracker) change(now time.Time, alter func() bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	changed := alter()
	accused := t.core.accusedAddrs()
	t.accused.Store(&accused)
	if changed {
		t.renew(now)
	}
}

// renew builds the view anew; t.mu is held.
func (t *Tracker) renew(now time.Time) {
	t.trial.Store(never)
	if next := t.core.nextTrial(now); !next.IsZero() {
		t.trial.Store(next.UnixNano())
	}
	old, fresh := t.view.Load(), t.core.View(now)
	t.view.Store(fresh)
	t.log(old, fresh)
	if t.deps.OnChange != nil {
		t.deps.OnChange(fresh)
	}
}

func (t *Tracker) log(old, fresh *View) {
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
