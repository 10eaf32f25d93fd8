package rollout

import (
	"time"

	"github.com/hickorybank/hickorybank/internal/config"
	"github.com/hickorybank/hickorybank/internal/membership"
	"github.com/hickorybank/hickorybank/internal/upstream"
)

// Event is what a [Machine] is told.
type Event interface{ event() }

// Tick tells the time and the present surroundings.
type Tick struct {
	View     *membership.View
	Snapshot *config.Snapshot
	// Fresh says that the snapshot may be acted on.
	Fresh bool
	// Rank is this node's place among those that should drive, from 0; negative
	// when others do.
	Rank int
}

// RowAnswer answers a [ReadRow], or a [WriteRow] whose condition failed.
type RowAnswer struct {
	Version uint64
	Value   []byte
	// Failed says that the row could not be read, or that a write may or may
	// not have taken effect.
	Failed bool
}

// RowWritten says that a [WriteRow] was applied.
type RowWritten struct{ Version uint64 }

// EngineAnswer answers a [ReadEngine].
type EngineAnswer struct {
	Engine string
	// Began is that of the action.
	Began time.Time
	State upstream.EngineState
	// Load is nil when it was not asked for or did not come.
	Load   *upstream.LoadReport
	Failed bool
}

// OrderResult is what became of an order on its way.
type OrderResult uint8

// The results of orders.
const (
	// OrderTaken: the engine said that it has taken the order.
	OrderTaken OrderResult = iota
	// OrderNotSent: the engine cannot have taken it, or said that it did not.
	OrderNotSent
	// OrderStale: the engine has seen a higher fencing number.
	OrderStale
	// OrderInDoubt: it may have taken the order, or may still take it.
	OrderInDoubt
)

// OrderAnswer answers a [SendOrder].
type OrderAnswer struct {
	Engine string
	// Began is that of the action.
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

// Action is what a [Machine] wants done. Each is answered by one
// event.
type Action interface{ action() }

// ReadRow reads the row.
type ReadRow struct{}

// WriteRow replaces the row if it still has the version.
type WriteRow struct {
	Version uint64
	Value   []byte
}

// ReadEngine reads an engine's state, and its load report if Load is set.
type ReadEngine struct {
	Engine string
	Addr   string
	Load   bool
	// Began tells the answers of several reads apart.
	Began time.Time
}

// SendOrder sends an order, unless it is Before or later by then or the
// configuration in force here is no longer of the revision and fresh.
type SendOrder struct {
	Engine   string
	Addr     string
	Order    upstream.Order
	Before   time.Time
	Revision uint64
	// Began tells the answers of several sends apart.
	Began time.Time
}

// AskInForce asks whether a revision is in force everywhere.
type AskInForce struct{ Revision uint64 }

func (ReadRow) action()    {}
func (WriteRow) action()   {}
func (ReadEngine) action() {}
func (SendOrder) action()  {}
func (AskInForce) action() {}
