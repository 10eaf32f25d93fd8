package gateway

import (
	"testing"

	"github.com/matryer/is"

	"github.com/hickorybank/hickorybank/internal/gossip"
)

// Guards against readings that stay with one node while nodes disagree on who leads.
func TestReadingIsPassedOn(t *testing.T) {
	for _, c := range []struct {
		name    string
		leads   bool
		in      gossip.Message
		toGroup bool
	}{
		{name: "leader, from another group", leads: true, in: gossip.Message{From: "x"}, toGroup: true},
		{name: "leader, from its group", leads: true, in: gossip.Message{From: "n1"}},
		{name: "member, from another group", in: gossip.Message{From: "x"}},
		{name: "member that the reader takes for the leader", in: gossip.Message{From: "x", ForGroup: true}, toGroup: true},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			n := newGroupNode(c.leads)
			n.noteRemoteReading(c.in)
			is.Equal(len(n.remoteReading) > 0, c.toGroup)
		})
	}
}
