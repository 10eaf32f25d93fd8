package gateway

import (
	"testing"

	"github.com/matryer/is"

	"github.com/hickorybank/hickorybank/internal/gossip"
)

// Fails if readings stay with one node while nodes disagree on who leads, or the
// reader itself cannot read.
func TestReadingIsPassedOn(t *testing.T) {
	for _, c := range []struct {
		name               string
		leads, failed      bool
		in                 gossip.Message
		toGroup, toLeaders bool
	}{
		{name: "leader, from another group", leads: true, in: gossip.Message{From: "x"}, toGroup: true},
		{name: "leader, from its group", leads: true, in: gossip.Message{From: "n1"}},
		{name: "member, from another group", in: gossip.Message{From: "x"}},
		{name: "member that the reader takes for the leader", in: gossip.Message{From: "x", ForGroup: true}, toGroup: true},
		{name: "reader that cannot read, from its group", leads: true, failed: true, in: gossip.Message{From: "n1"}, toLeaders: true},
		{name: "member that cannot read, from its group", failed: true, in: gossip.Message{From: "n1"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			n := newGroupNode(c.leads)
			n.noteReading(!c.failed, CauseReader)
			n.noteRemoteReading(c.in)
			is.Equal(n.view.relayToGroup, c.toGroup)
			is.Equal(n.view.relayToLeaders, c.toLeaders)
			is.Equal(len(n.remoteReading) > 0, c.toGroup || c.toLeaders)
		})
	}
}
