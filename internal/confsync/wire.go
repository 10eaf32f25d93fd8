package confsync

import (
	"time"

	"github.com/hickorybank/hickorybank/internal/archive"
)

// WaitArgs asks a peer for anything newer than what the caller has.
type WaitArgs struct {
	// From is the caller's own word about itself.
	From Notice
	// Revision is the one applied at the caller.
	Revision uint64
	// Full asks for the whole document, because a delta could not be applied.
	Full bool
	// Hold lets the peer keep the call until there is something newer.
	Hold bool
	// ListDigest and ListAge name the caller's VM list; 0 is none.
	ListDigest uint64
	ListAge    time.Duration
	// Notices are the stops that the caller knows of.
	Notices []Notice
}

// WaitReply is the answer to WaitArgs.
type WaitReply struct {
	// Revision is the one applied at the peer.
	Revision uint64
	Table    SentProof
	Grant    SentProof
	// Update is set when the peer has a newer document; Large in its place when it
	// is longer than a piece, and has to be taken piece by piece.
	Update *archive.Update
	Large  bool
	// List is set when the peer has a newer VM list.
	List *archive.Update
	// ListDigest and ListAge name the peer's VM list; ListAge is before the
	// receipt of the call, as in [SentProof].
	ListDigest uint64
	ListAge    time.Duration
	// Notices are those that the caller did not name.
	Notices []Notice
}

// SurveyArgs asks peers for their state.
type SurveyArgs struct {
	// Domain asks the peer to answer for its whole failure domain.
	Domain bool
	// Voting asks for a vote on an outage; see [NodeStatus].
	Voting bool
}

// SurveyReply is the answer to SurveyArgs.
type SurveyReply struct {
	Nodes []NodeStatus
	// Table is the peer's youngest proof of the table.
	Table SentProof
}

// NodeStatus is what one node says of itself.
type NodeStatus struct {
	ID string
	// Revision is the one applied there.
	Revision uint64
	// Confirmed is the newest revision that the node confirms: from then on
	// it gives no vote that lets others go on under an older one.
	Confirmed uint64
	// Vote says that the node sees an outage of the table: its youngest proof
	// is old. The vote binds it: while others may rely on the vote, the node
	// confirms no newer revision.
	Vote bool
	// Fewest is the least number of entry nodes that the node knew of late.
	Fewest int
	// List is the digest of the VM list by which the node counts a majority, 0
	// while it may be too old for that.
	List uint64
	// Age is how long before the receipt of the call the node said so.
	Age time.Duration
}

// Notice is an entry node's word that it stops or serves.
type Notice struct {
	ID string
	// Boot grows with each start of a process under that id.
	Boot    uint64
	Leaving bool
	// Age is how old the word is.
	Age time.Duration
}
