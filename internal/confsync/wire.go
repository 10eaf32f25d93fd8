package confsync

import (
	"time"

	"github.com/hickorybank/hickorybank/internal/archive"
)

// WaitArgs requests anything newer than what the caller has.
type WaitArgs struct {
	// From is the caller's notice about itself.
	From Notice
	// Revision is the revision applied at the caller.
	Revision uint64
	// Full requests the full document, because a delta could not be applied.
	Full bool
	// Hold allows the peer to hold the call until there is something newer.
	Hold bool
	// ListDigest and ListAge identify the caller's VM list; a digest of 0 means none.
	ListDigest uint64
	ListAge    time.Duration
	// Notices are the notices that the caller has.
	Notices []Notice
}

// WaitReply is the response to [WaitArgs].
type WaitReply struct {
	// Revision is the revision applied at the peer.
	Revision uint64
	Table    SentProof
	Grant    SentProof
	// Update is set if the peer has a newer document. If the update is larger than a
	// piece, Large is set instead, and the caller fetches it in pieces.
	Update *archive.Update
	Large  bool
	// List is set if the peer has a newer VM list.
	List *archive.Update
	// ListDigest and ListAge identify the peer's VM list. ListAge is relative to the receipt
	// of the call, as in [SentProof].
	ListDigest uint64
	ListAge    time.Duration
	// Notices are the notices that the caller does not have.
	Notices []Notice
}

// SurveyArgs requests the state of a peer.
type SurveyArgs struct {
	// Domain requests the state of the peer's whole failure domain.
	Domain bool
	// Voting requests a vote on an outage; see [NodeStatus].
	Voting bool
}

// SurveyReply is the response to [SurveyArgs].
type SurveyReply struct {
	Nodes []NodeStatus
	// Table is the peer's latest proof of the table.
	Table SentProof
}

// NodeStatus is the state that a node reports about itself.
type NodeStatus struct {
	ID string
	// Revision is the revision applied at the node.
	Revision uint64
	// Confirmed is the newest revision that the node confirms. After confirming it, the
	// node gives no vote that lets others continue under an older one.
	Confirmed uint64
	// Vote is set if the node observes an outage of the table: its latest proof is old, and
	// an attempt to get a more recent one failed. While others may rely on the vote, the
	// node confirms no newer revision.
	Vote bool
	// Fewest is the smallest number of entry nodes that the node has known recently.
	Fewest int
	// List is the digest of the VM list by which the node counts a majority; 0 while the
	// list may be incomplete.
	List uint64
	// Age is the age of this state at the receipt of the call.
	Age time.Duration
}

// Notice is an entry node's report that it is stopping or serving.
type Notice struct {
	ID string
	// Boot increases with each start of a process under that ID.
	Boot    uint64
	Leaving bool
	// Age is the time since the node made the report.
	Age time.Duration
}
