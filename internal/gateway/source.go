package gateway

import (
	"context"
	"errors"
	"time"

	"github.com/hickorybank/hickorybank/internal/canary"
	"github.com/hickorybank/hickorybank/internal/evacuation"
	"github.com/hickorybank/hickorybank/internal/fleet"
	"github.com/hickorybank/hickorybank/internal/gossip"
	"github.com/hickorybank/hickorybank/internal/route"
)

// ErrCompacted says that the history of a feed since a revision is gone: the
// whole has to be read.
var ErrCompacted = errors.New("history is gone")

// FleetChange is what has changed in the list of upstreams.
type FleetChange struct {
	// Whole is set when Put is the complete list.
	Whole    bool
	Put      []fleet.Record
	Drop     []string
	Revision uint64
	// Clock is the table's own steady clock at this answer.
	Clock time.Duration
	// Unreadable are entries that name no upstream to use.
	Unreadable []Unreadable
}

// Unreadable is a row that can't be read: another writer may have left it.
type Unreadable struct {
	Key string
	Err error
}

// OrdersChange is what operators have changed.
type OrdersChange struct {
	// Whole is set when these are all orders that stand.
	Whole bool
	// Config is the new configuration as the table holds it; nil if unchanged.
	Config   []byte
	Rollouts []canary.Order
	// Evacuations are orders to evacuate failure domains, ended ones too.
	Evacuations []evacuation.Order
	Revision    uint64
	// Clock is the table's own steady clock at this answer.
	Clock time.Duration
	// Unreadable are orders that can't be read; they order nothing.
	Unreadable []Unreadable
}

// RolloutState is what the table says of a roll-out.
type RolloutState struct {
	Order   canary.Order
	Verdict canary.Verdict
	// Age is how long ago it began.
	Age time.Duration
}

// Source is the platform's table as the gateway needs it.
type Source interface {
	// Fleet returns the changes of the upstreams' list after a revision; 0
	// returns the whole list.
	Fleet(ctx context.Context, after uint64) (FleetChange, error)
	// Orders waits up to wait for operators' changes after a revision; 0 returns
	// everything at once.
	Orders(ctx context.Context, after uint64, wait time.Duration) (OrdersChange, error)
	// Rollouts returns the recorded states of roll-outs.
	Rollouts(ctx context.Context) ([]RolloutState, error)
	// Record writes a roll-out's state if nobody has ended the order before;
	// it returns the state that then stands.
	Record(ctx context.Context, o canary.Order, v canary.Verdict) (canary.Verdict, error)
	// Join records a member, so that others find it, and returns those that
	// are recorded.
	Join(ctx context.Context, m gossip.Member) ([]gossip.Member, error)
	// SaveSnapshot keeps the list of upstreams beyond their own entries, LoadSnapshot
	// returns it; nothing where there is none. Bytes may follow what was saved.
	SaveSnapshot(ctx context.Context, data []byte) error
	LoadSnapshot(ctx context.Context) ([]byte, error)
	// Decode reads a configuration, compact JSON that is known to be sound. What an
	// earlier table was read from alike is not read again; nil for none.
	Decode(config []byte, earlier *route.Table) (*route.Table, error)
}
