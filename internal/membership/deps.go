package membership

import (
	"log/slog"

	"github.com/hickorybank/hickorybank/internal/platform"
)

// Deps are the dependencies of a [Tracker].
type Deps struct {
	// Self is this node's own VM.
	Self platform.VM
	Log  *slog.Logger
	// OnChange is called with each new view, under the Tracker's lock; may be nil. Of the
	// Tracker's methods it may call only [Tracker.View].
	OnChange func(*View)
}
