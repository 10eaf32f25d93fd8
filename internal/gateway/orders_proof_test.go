package gateway

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/hickorybank/hickorybank/internal/gossip"
	"github.com/hickorybank/hickorybank/internal/route"
)

// A reader tells its group that it has just read the table, and a version that the
// group has not got yet. The proof was dropped, as the version was not in force, and a
// second later the members read the table for what they then had. It counts from the
// moment at which the version is in force; with a change every moment, each counts in
// its turn.
func TestProofWaitsForItsConfiguration(t *testing.T) {
	is := is.New(t)
	n := newGroupNode(false)
	now := time.Now()
	tell := func(version int64, revision uint64, at time.Time) {
		n.mu.Lock()
		defer n.mu.Unlock()
		n.takeOrdersProof(gossip.Message{From: "n0", ConfigVersion: version, Proof: gossip.Proof{OrdersAge: now.Sub(at), OrdersClock: at.Sub(now) + time.Minute, OrdersRevision: revision}}, now)
	}
	enforce := func(version int64) {
		n.config.Store(&configuration{Table: route.New(version, route.Limits{}, nil, nil, nil)})
		n.noteConfig()
	}
	at := func(s int) time.Time { return now.Add(time.Duration(s-9) * time.Second) }
	tell(2, 20, at(1))
	is.True(n.list.ordersProvenAt.IsZero())
	tell(3, 30, at(2))
	tell(4, 40, at(3))
	enforce(2)
	is.True(n.list.ordersProvenAt.Equal(at(1)))
	is.Equal(n.list.orders, uint64(20))
	enforce(3)
	is.True(n.list.ordersProvenAt.Equal(at(1))) // of the later ones the latest waits
	tell(5, 50, at(4))
	enforce(4)
	is.True(n.list.ordersProvenAt.Equal(at(3)))
	enforce(6)
	is.True(n.list.ordersProvenAt.Equal(at(4)))
	is.Equal(n.list.orders, uint64(50))
	tell(6, 60, at(8))
	is.True(n.list.ordersProvenAt.Equal(at(8)))
}

// A group's reader is lost while another group's takes a large change and says so. The
// word of that one says nothing of the lost one: its members read the table in time.
func TestOnlyTheOwnReadersTransferIsWaitedFor(t *testing.T) {
	is := is.New(t)
	n := newGroupNode(false)
	now := time.Now()
	pending := func(from string) {
		n.mu.Lock()
		defer n.mu.Unlock()
		n.takeOrdersProof(gossip.Message{From: from, Proof: gossip.Proof{OrdersAge: noProof, OrdersPending: true}}, now)
	}
	pending("elsewhere")
	is.True(n.list.ordersPendingAt.IsZero())
	pending(n.roster.Group()[0].ID)
	is.True(n.list.ordersPendingAt.Equal(now))
}

// stuckSource is a table that gives the same large change whatever was read before.
type stuckSource struct {
	oneRoute
	calls int
}

func (s *stuckSource) Orders(context.Context, uint64, time.Duration) (OrdersChange, error) {
	s.calls++
	return OrdersChange{Config: make([]byte, largeChange), Revision: 7}, nil
}

// A large change is read once more, as the next may have been made meanwhile. A table
// that gives it again under the same revision would be called without a pause.
func TestSameLargeChangeIsNotReadForEver(t *testing.T) {
	is := is.New(t)
	n := newGroupNode(true)
	s := &stuckSource{}
	n.source = s
	is.True(n.readOrders(context.Background()))
	is.Equal(s.calls, 2)
}
