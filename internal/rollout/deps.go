package rollout

import (
	"context"
	"log/slog"

	"github.com/hickorybank/hickorybank/internal/config"
	"github.com/hickorybank/hickorybank/internal/membership"
	"github.com/hickorybank/hickorybank/internal/platform"
	"github.com/hickorybank/hickorybank/internal/upstream"
)

// Deps are the dependencies of a Driver. None may be nil.
type Deps struct {
	Table   platform.Table
	Engines upstream.Engines
	// View returns the VMs as this node sees them, or nil before the first list.
	View func() *membership.View
	// Snapshot returns the configuration applied here, and whether it is fresh enough to
	// act on.
	Snapshot func() (snapshot *config.Snapshot, fresh bool)
	// InForce reports whether no node admits work under an older revision any more.
	InForce func(ctx context.Context, revision uint64) (bool, error)
	Self    platform.VM
	// Members returns the entry VMs, one of which drives.
	Members func() []platform.VM
	Log     *slog.Logger
}
