package gossip

import (
	"time"

	"github.com/hickorybank/hickorybank/internal/canary"
	"github.com/hickorybank/hickorybank/internal/crashguard"
	"github.com/hickorybank/hickorybank/internal/fleet"
)

// Message is what one node tells another, both ways of an exchange.
type Message struct {
	From    string
	Members []Member
	// ConfigVersion is the version of the configuration in force at the
	// sender; 0 for none.
	ConfigVersion int64
	// Config is that configuration as the table holds it, where the receiver
	// is known to have an older one.
	Config []byte
	// Fleet is the list of upstreams as of FleetRevision, told where the
	// receiver asked for it. FleetAge is how long ago it was read.
	Fleet         []fleet.Record
	FleetRevision uint64
	FleetAge      time.Duration
	// WantFleet asks the receiver for its list: the sender cannot read the
	// table.
	WantFleet bool
	// Orders are the roll-outs that the sender knows, Tallies the counts.
	Orders  []Order
	Tallies []canary.Tally
	// Strikes are requests that crashed upstreams.
	Strikes []crashguard.Strike
}

// Order is a roll-out and how long it has been under way.
type Order struct {
	canary.Order
	Age time.Duration
}
