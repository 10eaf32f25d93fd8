package gateway

import (
	"time"

	"github.com/hickorybank/hickorybank/internal/gossip"
)

// mergeEdits applies the edits in a message if they lead from the list that this node has to
// the sender's. They may start from an earlier list of this node: the sender knows the one of
// the last message between the two, and others have sent edits since.
// at is when the reading behind them began. mayHaveLapsed is set if the table may have been
// unavailable before it, for the sender as well.
func (n *Node) mergeEdits(in gossip.Message, at time.Time, mayHaveLapsed bool) {
	put, ok := in.Edits.Put.Records()
	if !ok || in.Edits.Len() == 0 {
		return
	}
	if in.Edits.From != n.fleet.Hash() && n.fleet.HashAfter(put, in.Edits.Drop) != in.Proof.FleetHash {
		return
	}
	n.setListRevision(in.Proof.ListRead)
	n.putUpstreams(put, time.Now())
	n.dropUpstreams(in.Edits.Drop, at, mayHaveLapsed)
}
