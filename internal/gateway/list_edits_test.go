package gateway

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/hickorybank/hickorybank/internal/fleet"
	"github.com/hickorybank/hickorybank/internal/gossip"
	"github.com/hickorybank/hickorybank/internal/revision"
)

// Fails if a list is late by a reading: a push was dropped because its edits start
// from a list that the receiver has since left by another node's push.
func TestEditsFromAnEarlierListApply(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	n := newListNode(now.Add(-time.Second))
	sender := fleet.New(fleet.Settings{})
	for _, r := range n.fleet.Records(now) {
		sender.Put(r, now)
	}
	known := sender.Hash()
	push := func(id string, read revision.Revision) {
		sender.SetRevision(read)
		sender.Put(fleet.Record{ID: id, Service: "s", Addr: "10.0.1." + id[1:] + ":1", Version: "v1", Slots: 1}, now)
		edits, ok := sender.EditsSince(known, 0, now.Add(time.Duration(read)*time.Second))
		is.True(ok)
		n.mergeProof(gossip.Message{From: "n1", Edits: edits, Proof: gossip.Proof{
			Steady: time.Minute, ListRead: read, FleetHash: sender.Hash(), ListClock: time.Duration(read) * time.Hour,
		}}, now)
	}
	push("u3", 11)
	push("u4", 12) // its edits start from the first list as well
	is.True(n.listed("u3"))
	is.True(n.listed("u4"))
	is.Equal(n.fleet.Hash(), sender.Hash())
	is.Equal(n.view.listRevision, revision.Revision(12))
}
