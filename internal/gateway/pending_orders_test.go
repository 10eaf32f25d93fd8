package gateway

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/hickorybank/hickorybank/internal/gossip"
)

// Fails if a leader keeps its members waiting for a large order whose transfer ended with its
// reader: each of the leader's messages would look like a new sign of the transfer.
func TestMemberDoesNotWaitForATransferThatEnded(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	leader, member := newGroupNode(true), newGroupNode(false)
	member.startedAt = now.Add(-time.Minute)
	member.roster.Merge([]gossip.Member{leader.roster.Self()}, now)
	for _, n := range []*Node{leader, member} {
		n.view.listAsOf, n.view.listRevision = now, 1
		n.view.ordersAsOf, n.view.ordersRevision = now.Add(-6*time.Second), 1
	}
	leader.view.ordersPendingAt = now.Add(-5 * time.Second) // as its reader said, which is lost
	member.receive(leader.newMessage(member.roster.Self()))
	is.True(!member.nextReading(0).After(now))
}
