package share

import (
	"log/slog"

	"github.com/hickorybank/hickorybank/internal/choice"
	"github.com/hickorybank/hickorybank/internal/config"
	"github.com/hickorybank/hickorybank/internal/peer"
	"github.com/hickorybank/hickorybank/internal/platform"
)

// Deps holds the external dependencies of a [Share]. None may be nil.
type Deps struct {
	Chooser *choice.Chooser
	Table   platform.Table
	Peers   peer.Caller
	// Members returns the entry VMs in this node's membership list, with their Peer
	// addresses and failure domains. It must not block.
	Members func() []platform.VM
	// Self is this node; its Peer address is the one that other nodes use.
	Self platform.VM
	// Snapshot returns the configuration in force on this node, or nil if there is none
	// yet.
	Snapshot func() *config.Snapshot
	Log      *slog.Logger
}
