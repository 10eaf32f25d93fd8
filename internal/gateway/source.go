package gateway

import (
	"context"
	"errors"
	"time"

	"github.com/hickorybank/hickorybank/internal/canary"
	"github.com/hickorybank/hickorybank/internal/evacuation"
	"github.com/hickorybank/hickorybank/internal/fleet"
	"github.com/hickorybank/hickorybank/internal/gossip"
	"github.com/hickorybank/hickorybank/internal/revision"
	"github.com/hickorybank/hickorybank/internal/route"
)

// ErrCompacted reports that a feed's history since a revision is gone. The caller has to
// read the whole feed.
var ErrCompacted = errors.New("history is gone")

// FleetChange is a change of the list of upstreams.
type FleetChange struct {
	// Complete is set if Put is the complete list.
	Complete bool
	// Put are upstreams that were added or changed.
	Put []fleet.Record
	// Drop are the IDs of upstreams that were removed.
	Drop []string
	// Revision is the table's revision up to which the change leads.
	Revision revision.Revision
	// Clock is the table's own monotonic clock at this response.
	Clock time.Duration
	// Unreadable are entries that describe no usable upstream.
	Unreadable []UnreadableRow
}

// UnreadableRow is a row of the table that can't be read; another program may have
// written it. Its key in a list of upstreams is the upstream's ID.
type UnreadableRow struct {
	Key string
	Err error
}

// OrdersChange is a change of the operator orders: configuration, rollouts and evacuations.
type OrdersChange struct {
	// Complete is set if these are all orders that stand.
	Complete bool
	// Config is the new configuration as the table holds it; nil if unchanged.
	Config []byte
	// Rollouts are new or changed orders to roll out a version.
	Rollouts []canary.Order
	// Evacuations are orders to evacuate failure domains, including ended ones.
	Evacuations []evacuation.Order
	// Revision is the table's revision up to which the change leads.
	Revision revision.Revision
	// Clock is the table's own monotonic clock at this response.
	Clock time.Duration
	// Unreadable are orders that can't be read; they have no effect.
	Unreadable []UnreadableRow
}

// RolloutState is the recorded state of a rollout.
type RolloutState struct {
	Order   canary.Order
	Verdict canary.Verdict
	// Age is how long ago the rollout began.
	Age time.Duration
}

// Source gives access to the platform's table. Its methods return the errors of failed
// calls.
type Source interface {
	// Fleet returns the changes of the list of upstreams after a revision; 0 returns the
	// whole list. The error is [ErrCompacted] if the history since the revision is gone.
	Fleet(ctx context.Context, after revision.Revision) (FleetChange, error)
	// Orders returns the operator orders that changed after a revision, and waits up to
	// wait for a change; 0 returns all orders at once. The error is [ErrCompacted] as for
	// Fleet.
	Orders(ctx context.Context, after revision.Revision, wait time.Duration) (OrdersChange, error)
	// Rollouts returns the recorded states of rollouts.
	Rollouts(ctx context.Context) ([]RolloutState, error)
	// Record writes a rollout's state unless the order has a final one already; it returns
	// the state that then stands.
	Record(ctx context.Context, o canary.Order, v canary.Verdict) (canary.Verdict, error)
	// Join records a member, so that others find it, and returns the members recorded so
	// far, and the records that can't be read.
	Join(ctx context.Context, m gossip.Member) (members []gossip.Member, unreadable []UnreadableRow, err error)
	// SaveSnapshot stores the list of upstreams apart from their own entries. LoadSnapshot
	// returns it, or nothing if none was stored. Additional bytes may follow the stored
	// ones.
	SaveSnapshot(ctx context.Context, data []byte) error
	LoadSnapshot(ctx context.Context) ([]byte, error)
	// LoadCrashes returns the row of the record of crashes. SaveCrashes replaces it if its
	// revision is still the given one; ok is false if it is not.
	LoadCrashes(ctx context.Context) (CrashRow, error)
	SaveCrashes(ctx context.Context, data []byte, at revision.Revision) (ok bool, err error)
	// Decode decodes a configuration, which is valid compact JSON. It reuses the parts of
	// the earlier table whose input is unchanged; earlier may be nil.
	Decode(config []byte, earlier *route.Table) (*route.Table, error)
}
