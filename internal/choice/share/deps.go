package share

import (
	"log/slog"

	"github.com/hickorybank/hickorybank/internal/choice"
	"github.com/hickorybank/hickorybank/internal/config"
	"github.com/hickorybank/hickorybank/internal/peer"
	"github.com/hickorybank/hickorybank/internal/platform"
)

// Deps are what a [Share] reaches the outside with. None may be nil.
type Deps struct {
	Chooser *choice.Chooser
	Table   platform.Table
	Peers   peer.Caller
	// Members returns the entry VMs that this node sees, with their Peer
	// addresses and failure domains. It must not block.
	Members func() []platform.VM
	// Self is this node; its Peer address is the one that others see.
	Self platform.VM
	// Snapshot returns the configuration in force here, or nil.
	Snapshot func() *config.Snapshot
	Log      *slog.Logger
}
