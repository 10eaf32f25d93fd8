package rollout

import (
	"time"

	"github.com/hickorybank/hickorybank/internal/config"
	"github.com/hickorybank/hickorybank/internal/membership"
	"github.com/hickorybank/hickorybank/internal/upstream"
)

// Event is an input of a [Machine].
type Event interface{ event() }

// Tick reports the time, the VMs and the configuration. It comes once every
// Settings.Tick.
type Tick struct {
	View     *membership.View
	Snapshot *config.Snapshot
	// Fresh is set if the snapshot may be acted on.
	Fresh bool
	// Rank is this node's place among those that should drive, from 0; negative if it is
	// not one of them.
	Rank int
}

// RowAnswer answers a [ReadRow], or a [WriteRow] whose condition failed.
type RowAnswer struct {
	Version uint64
	Value   []byte
	// Failed is set if the row could not be read, or if a write may or may not have taken
	// effect.
	Failed bool
}

// RowWritten reports that a [WriteRow] was applied; Version is the row's new version.
type RowWritten struct{ Version uint64 }

// EngineAnswer answers a [ReadEngine].
type EngineAnswer struct {
	Engine string
	// Began is copied from the action.
	Began time.Time
	State upstream.EngineState
	// Load is nil when it was not asked for or could not be read.
	Load   *upstream.LoadReport
	Failed bool
}

// OrderResult is the outcome of sending an order.
type OrderResult uint8

// Outcomes of orders.
const (
	// OrderAccepted means that the engine acknowledged the order.
	OrderAccepted OrderResult = iota
	// OrderNotSent means that the engine did not get the order, or refused it.
	OrderNotSent
	// OrderStale means that the engine has seen a higher fencing token.
	OrderStale
	// OrderUnknown means that the engine may have accepted the order, or may still do so.
	OrderUnknown
)

// OrderAnswer answers a [SendOrder].
type OrderAnswer struct {
	Engine string
	// Began is copied from the action.
	Began  time.Time
	Result OrderResult
}

// InForceAnswer answers an [AskInForce].
type InForceAnswer struct {
	Revision uint64
	InForce  bool
}

func (Tick) event()          {}
func (RowAnswer) event()     {}
func (RowWritten) event()    {}
func (EngineAnswer) event()  {}
func (OrderAnswer) event()   {}
func (InForceAnswer) event() {}

// Action is an output of a [Machine]. Each one is answered by one event.
type Action interface{ action() }

// ReadRow reads the row.
type ReadRow struct{}

// WriteRow replaces the row's value if the row still has the version.
type WriteRow struct {
	Version uint64
	Value   []byte
}

// ReadEngine reads an engine's state, and its load report if Load is set.
type ReadEngine struct {
	Engine string
	Addr   string
	Load   bool
	// Began is the time of the action; it tells the answers of several reads apart.
	Began time.Time
}

// SendOrder sends an order. It is not sent at or after Before, nor if the configuration
// applied here is stale or has another revision.
type SendOrder struct {
	Engine   string
	Addr     string
	Order    upstream.Order
	Before   time.Time
	Revision uint64
	// Began is the time of the action; it tells the answers of several sends apart.
	Began time.Time
}

// AskInForce asks whether a revision is in force on all nodes.
type AskInForce struct{ Revision uint64 }

func (ReadRow) action()    {}
func (WriteRow) action()   {}
func (ReadEngine) action() {}
func (SendOrder) action()  {}
func (AskInForce) action() {}
