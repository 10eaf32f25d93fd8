package gateway

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/hickorybank/hickorybank/internal/gossip"
	"github.com/hickorybank/hickorybank/internal/revision"
	"github.com/hickorybank/hickorybank/internal/route"
)

// Regression: nodes read the table for what they were about to receive. A reader's proof
// named a version that its group did not have yet; members dropped the proof and read the
// table a second later. A proof must count from the activation of its version; with
// frequent changes, each counts in turn.
func TestOrdersProofWaitsForItsConfiguration(t *testing.T) {
	is := is.New(t)
	n := newGroupNode(false)
	now := time.Now()
	tell := func(version int64, read revision.Revision, at time.Time) {
		n.mu.Lock()
		defer n.mu.Unlock()
		n.mergeOrdersProof(gossip.Message{From: "n0", ConfigVersion: version, Proof: gossip.Proof{OrdersAge: now.Sub(at), OrdersClock: at.Sub(now) + time.Minute, OrdersRead: read}}, now)
	}
	enforce := func(version int64) {
		n.config.Store(&configuration{Table: route.New(version, route.Limits{}, nil, nil, nil)})
		n.configActivated(true)
	}
	at := func(s int) time.Time { return now.Add(time.Duration(s-9) * time.Second) }
	tell(2, 20, at(1))
	is.True(n.view.ordersAsOf.IsZero())
	tell(3, 30, at(2))
	tell(4, 40, at(3))
	enforce(2)
	is.True(n.view.ordersAsOf.Equal(at(1)))
	is.Equal(n.view.ordersRevision, revision.Revision(20))
	enforce(3)
	is.True(n.view.ordersAsOf.Equal(at(1))) // of the later proofs only the latest is kept
	tell(5, 50, at(4))
	enforce(4)
	is.True(n.view.ordersAsOf.Equal(at(3)))
	enforce(6)
	is.True(n.view.ordersAsOf.Equal(at(4)))
	is.Equal(n.view.ordersRevision, revision.Revision(50))
	tell(6, 60, at(8))
	is.True(n.view.ordersAsOf.Equal(at(8)))
}

// Members do not wait for a lost reader when the reader of another group reports a large
// transfer. Only the own reader's report counts.
func TestOnlyOwnReadersTransferDelaysReading(t *testing.T) {
	is := is.New(t)
	n := newGroupNode(false)
	now := time.Now()
	pending := func(from string) {
		n.mu.Lock()
		defer n.mu.Unlock()
		n.mergeOrdersProof(gossip.Message{From: from, Proof: gossip.Proof{OrdersAge: noProof, OrdersPending: true}}, now)
	}
	pending("elsewhere")
	is.True(n.view.ordersPendingAt.IsZero())
	pending(n.roster.Group()[0].ID)
	is.True(n.view.ordersPendingAt.Equal(now))
}

// unchangingSource is a table that returns the same large configuration after any revision.
type unchangingSource struct {
	oneRoute
	calls int
}

func (s *unchangingSource) Orders(context.Context, revision.Revision, time.Duration) (OrdersChange, error) {
	s.calls++
	return OrdersChange{Config: make([]byte, largeConfigBytes), Revision: 7}, nil
}

// Fails if a node calls the table without a pause. A large configuration is read once
// more, as a newer one may have been made meanwhile; a table that returns it again under
// the same revision must end that.
func TestUnchangedLargeConfigurationIsReadOnlyTwice(t *testing.T) {
	is := is.New(t)
	n := newGroupNode(true)
	s := &unchangingSource{}
	n.source = s
	is.True(n.readOrders(context.Background()))
	is.Equal(s.calls, 2)
}
