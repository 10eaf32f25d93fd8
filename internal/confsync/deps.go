package confsync

import (
	"log/slog"

	"github.com/hickorybank/hickorybank/internal/config"
	"github.com/hickorybank/hickorybank/internal/peer"
	"github.com/hickorybank/hickorybank/internal/platform"
)

// Deps are the dependencies of a [Syncer].
type Deps struct {
	Store Store
	// Lists is the platform's VM list; nil if this node does not read it.
	Lists platform.VMs
	Peers peer.Caller
	// Members returns the entry VMs that this node knows, with or without itself. It must
	// not block.
	Members func() []platform.VM
	Self    platform.VM
	Log     *slog.Logger
	// OnApply is called, in order, for each configuration applied; may be nil.
	OnApply func(*config.Snapshot)
	// OnList is called for each VM list that differs from the last; may be nil.
	OnList func(List)
	// OnLeaving is called with the ID of an entry VM that reports that it stops. OnServing
	// is called with the ID of an entry VM that was restarted after such a report. Both may
	// be nil.
	//
	// None of these functions may block: they run in the goroutine that keeps the
	// configuration fresh.
	OnLeaving func(id string)
	OnServing func(id string)
}
