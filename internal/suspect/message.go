package suspect

import "github.com/hickorybank/hickorybank/internal/request"

// Message goes from one tracker to another. Messages may be lost, repeated and reordered.
// They are sent one way by net/rpc; the reply of the call is empty.
type Message struct {
	From string
	// Born is the sender's run.
	Born uint64
	To   string
	Kind MessageKind
	// Seq matches an answer to its question.
	Seq uint64
	// Digest is that of the sender's records. Behind is set if it may lack some.
	Digest uint64
	Behind bool
	// Records are records of suspects to merge.
	Records []Record
	// Attempt, Lane and Fingerprint identify the run that a vote is about.
	Attempt     string
	Lane        string
	Fingerprint request.Fingerprint
	Granted     bool
}

// MessageKind is the purpose of a message.
type MessageKind uint8

// Kinds of messages.
const (
	// Alert sends suspects; it is answered by AlertAck.
	Alert MessageKind = iota + 1
	AlertAck
	// Pull asks for the records that the sender lacks; it is answered by Push.
	Pull
	Push
	// VoteRequest asks a peer for its vote for a run; it is answered by VoteReply.
	VoteRequest
	VoteReply
	// VoteRelease returns the vote; it is answered by VoteReleaseAck.
	VoteRelease
	VoteReleaseAck
	// Leaving says that the sender stops and has nothing in flight.
	Leaving
)
