package membership

import (
	"sync/atomic"
	"time"

	"github.com/hickorybank/hickorybank/internal/platform"
)

// Tracker keeps the current [View]. It is safe for concurrent use and has no
// goroutine of its own: states that end with time are renewed by the next
// call.
type Tracker struct {
	settings Settings
	deps     Deps
	view     atomic.Pointer[View]
}

// New returns a tracker that knows only its own VM.
func New(s Settings, d Deps) *Tracker {
	t := &Tracker{settings: s.WithDefaults(), deps: d}
	t.view.Store(&View{Entries: []Member{{VM: d.Self}}})
	return t
}

// View returns the current picture.
func (t *Tracker) View() *View { return t.view.Load() }

// SetList takes an answer of the platform's list, read at that time.
func (t *Tracker) SetList(_ []platform.VM, _ time.Time) {}

// Observe takes what was seen of the VM at an address (for callers, for
// requests or for peers).
func (t *Tracker) Observe(_ string, _ Outcome) {}

// ObserveLoad takes the load in [0,1] that an entry VM reports of itself.
func (t *Tracker) ObserveLoad(_ string, _ float64) {}

// MarkLeaving marks a VM as leaving by its id; it stays so until the list or
// the VM's own word says otherwise.
func (t *Tracker) MarkLeaving(_ string) {}

// Addresses answers which entry addresses the caller should use.
func (t *Tracker) Addresses(_ string, _ time.Time) Answer { return Answer{} }
