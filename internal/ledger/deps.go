package ledger

import (
	"log/slog"

	"github.com/hickorybank/hickorybank/internal/peer"
	"github.com/hickorybank/hickorybank/internal/platform"
)

// Deps are the external dependencies of a ledger.
type Deps struct {
	Table   platform.Table
	Objects platform.Objects
	Peers   peer.Caller
	// Members returns the entry VMs that this node sees, with their Peer
	// addresses and failure domains. It must not block.
	Members func() []platform.VM
	// Self is this node, with the Peer address that other nodes use.
	Self platform.VM
	Log  *slog.Logger
}
