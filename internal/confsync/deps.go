package confsync

import (
	"log/slog"

	"github.com/hickorybank/hickorybank/internal/config"
	"github.com/hickorybank/hickorybank/internal/peer"
	"github.com/hickorybank/hickorybank/internal/platform"
)

// Deps are what a Syncer reaches the outside with.
type Deps struct {
	Store Store
	// Lists is the platform's VM list; nil means that nobody reads it here.
	Lists platform.VMs
	Peers peer.Caller
	// Members returns the entry VMs that this node knows, itself among them
	// or not. It must not block.
	Members func() []platform.VM
	Self    platform.VM
	Log     *slog.Logger
	// OnApply is called, in order, for each configuration applied; may be nil.
	OnApply func(*config.Snapshot)
	// OnList is called for each VM list that differs from the last; may be nil.
	OnList func(List)
	// OnLeaving is called with the id of an entry VM that says it stops, and
	// OnServing with one that said so before and was started anew; both may
	// be nil.
	//
	// None of these functions may block: they run on the goroutine that keeps
	// the configuration fresh.
	OnLeaving func(id string)
	OnServing func(id string)
}
