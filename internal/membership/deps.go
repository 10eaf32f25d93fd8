package membership

import (
	"log/slog"

	"github.com/hickorybank/hickorybank/internal/platform"
)

// Deps are what a Tracker needs.
type Deps struct {
	Self platform.VM
	Log  *slog.Logger
	// OnChange is called after each new view; may be nil. It must not call
	// the Tracker.
	OnChange func(*View)
}
