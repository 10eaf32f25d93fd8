package suspect

import "github.com/hickorybank/hickorybank/internal/request"

// Message goes from one tracker to another. It may arrive in any order, any
// number of times or never. It is sent one way by net/rpc; the call's reply
// carries nothing.
type Message struct {
	From string
	// Born is the sender's run.
	Born uint64
	To   string
	Kind MessageKind
	// Seq matches an answer to what it answers.
	Seq uint64
	// Digest is of the sender's records; Behind says that it may lack some.
	Digest uint64
	Behind bool
	// Records are the suspects told of.
	Records []Record
	// Attempt and Fingerprint name the run that is asked for or has ended.
	Attempt     string
	Lane        string
	Fingerprint request.Fingerprint
	Granted     bool
}

// MessageKind is what a message is for.
type MessageKind uint8

// The kinds of messages.
const (
	// Alert tells of suspects; it is answered by AlertAck.
	Alert MessageKind = iota + 1
	AlertAck
	// Pull asks for the records that the sender lacks; it is answered by Push.
	Pull
	Push
	// Ask asks a peer for its vote for a run; it is answered by Answer.
	Ask
	Answer
	// Release gives the vote back; it is answered by ReleaseAck.
	Release
	ReleaseAck
	// Bye says that the sender stops and has nothing in flight.
	Bye
)
