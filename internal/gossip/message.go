package gossip

import (
	"time"

	"github.com/hickorybank/hickorybank/internal/canary"
	"github.com/hickorybank/hickorybank/internal/crashguard"
	"github.com/hickorybank/hickorybank/internal/evacuation"
	"github.com/hickorybank/hickorybank/internal/fleet"
	"github.com/hickorybank/hickorybank/internal/notice"
	"github.com/hickorybank/hickorybank/internal/revision"
)

// Message is the request and the response of an exchange between two nodes.
type Message struct {
	From string
	Born int64
	// RosterHash shows whether both nodes know the same members. If they differ, the
	// response carries the responder's Digest. The requester then sends its own Digest with
	// the Marks of its members in the buckets that differ, and receives the Members that it
	// lacks. Messages also carry the sender's own entry to a new peer, and recent changes
	// when rosters are compared.
	RosterHash uint64
	Digest     Digest
	Marks      []Mark
	Members    []Member
	// ConfigVersion is the version of the configuration in force at the sender; 0 for
	// none. The configuration itself is not sent: a node with an older one fetches it in
	// pieces, so that messages stay small and arrive in time whatever its size.
	ConfigVersion int64
	// Reading is set while the sender has no state and reads the table for the first time.
	Reading bool
	// Proof shows how recent the sender's reading of the table is.
	Proof Proof
	// Edits lead from the receiver's list of upstreams to the sender's; empty if the lists
	// are equal. ListOffered is set instead if the sender knows no edits from the receiver's
	// list. A node that lacks a list fetches it in pieces from one peer, so that messages
	// stay small with any number of upstreams.
	Edits       fleet.Edits
	ListOffered bool
	// ForGroup asks the receiver to pass this reading of the table on to its group, of which
	// the sender takes it for the leader.
	ForGroup bool
	// Orders are the rollouts that the sender knows, Tallies their counts.
	Orders  []Order
	Tallies []canary.Tally
	// Evacuations are the orders to evacuate failure domains that the sender knows,
	// including ended ones.
	Evacuations []evacuation.Order
	// Pins are sessions that stay on the old version.
	Pins []canary.Pin
	// Crashes are crashes of upstreams and what may have caused them.
	Crashes crashguard.Report
	// Notices are the states that upstreams report in their responses: all that changed,
	// and some of the others.
	Notices []notice.Report
}

// Proof describes the latest reading of the table, made by the sender or by a node that it
// received the reading from.
type Proof struct {
	// Age is the time since the reading of the list began; negative for none.
	Age time.Duration
	// Steady is how long the sender has had such readings without a gap.
	Steady time.Duration
	// OrdersAge is the time since operators' changes were read; negative for never.
	OrdersAge time.Duration
	// ListClock and OrdersClock are the table's own clock at these readings. They identify
	// and order readings. Age alone does not: at each node that receives a reading it is
	// too small by the transit time of the message.
	ListClock, OrdersClock time.Duration
	// OrdersPending is set if the sender reads operators' changes for its group and is
	// still fetching a large change.
	OrdersPending bool
	// PendingAge is the time since the sender learned of that transfer; 0 if it is its own.
	PendingAge time.Duration
	// Away is the time since the sender, or its reader, last failed to read the table, if
	// nothing has been read since; otherwise 0.
	Away time.Duration
	// ListRead and OrdersRead are the revisions that were read.
	ListRead, OrdersRead revision.Revision
	// FleetHash shows whether the receiver has the same list.
	FleetHash uint64
}

// Order is a rollout, the time since its start and its outcome as far as the sender knows.
type Order struct {
	canary.Order
	Age     time.Duration
	Outcome canary.Outcome
}
