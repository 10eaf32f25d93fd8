package gossip

import (
	"time"

	"github.com/hickorybank/hickorybank/internal/canary"
	"github.com/hickorybank/hickorybank/internal/crashguard"
	"github.com/hickorybank/hickorybank/internal/evacuation"
	"github.com/hickorybank/hickorybank/internal/fleet"
	"github.com/hickorybank/hickorybank/internal/notice"
)

// Message is what one node tells another, both ways of an exchange.
type Message struct {
	From string
	Born int64
	// RosterHash tells whether both know the same members. Where they don't, the answer
	// has the Digest of the one who was asked; the asker sends its own with the Members
	// that it has in the parts that differ, and is answered with those of the other.
	RosterHash uint64
	Digest     Digest
	Members    []Member
	// ConfigVersion is the version of the configuration in force at the
	// sender; 0 for none.
	// The configuration itself is not told: who has an older one takes it piece by
	// piece, so that news are small and come in time whatever its size.
	ConfigVersion int64
	// Proof tells how fresh the sender's knowledge of the table is.
	Proof Proof
	// Edits lead from the list of upstreams that the receiver has to the sender's;
	// Fleet is the whole, told where that is not known. Neither where both have the
	// same.
	Edits fleet.Edits
	Fleet []fleet.Record
	// Lapsed are upstreams that the sender tries though the table no longer lists them;
	// told to a node that knows no list yet.
	Lapsed []fleet.Record
	// Orders are the roll-outs that the sender knows, Tallies the counts.
	Orders  []Order
	Tallies []canary.Tally
	// Evacuations are the orders to evacuate failure domains that the sender knows,
	// ended ones too.
	Evacuations []evacuation.Order
	// Pins are sessions that stay on the old version.
	Pins []canary.Pin
	// Strikes are requests that crashed upstreams.
	Strikes []crashguard.Strike
	// Notices are what upstreams have said of themselves in answers: what has changed, and
	// some of the rest.
	Notices []notice.Report
}

// Proof is a reading of the table, by the sender or by whom it heard from.
type Proof struct {
	// Age is how long ago the reading of the list began; negative for none.
	Age time.Duration
	// Steady is how long the sender has had such readings without a gap.
	Steady time.Duration
	// OrdersAge is how long ago operators' changes were read; negative for never.
	OrdersAge time.Duration
	// ListClock and OrdersClock are the table's own clock at these readings: they tell
	// readings apart and which is the later. By its age alone a reading would be younger
	// at each node that hears of it, by the time that the word was on its way.
	ListClock, OrdersClock time.Duration
	// OrdersPending says that the sender reads them for its group, and that a large
	// change is on its way to it.
	OrdersPending bool
	// Away is how long ago the sender, or who reads for it, last could not read the table,
	// where nothing has been read since; 0 else.
	Away time.Duration
	// FleetRevision and OrdersRevision are the revisions that were read.
	FleetRevision, OrdersRevision uint64
	// FleetHash tells whether the receiver has the same list.
	FleetHash uint64
}

// Order is a roll-out and how long it has been under way.
type Order struct {
	canary.Order
	Age time.Duration
}
