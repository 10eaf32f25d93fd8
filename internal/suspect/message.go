package suspect

import "github.com/hickorybank/hickorybank/internal/request"

// Message goes from one tracker to another, in any order, any number of times
// or never. It is sent one way by net/rpc; the call's reply carries nothing.
type Message struct {
	From string
	To   string
	Kind MessageKind
	// Seq matches an answer to what it answers.
	Seq uint64
	// Records are the suspects told of.
	Records []Record
	// Attempt and Fingerprint name the run that is asked for or reported.
	Attempt     string
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
	// Pull asks for all records; it is answered by Push.
	Pull
	Push
	// Ask asks the holder for a run; it is answered by Answer.
	Ask
	Answer
	// Release tells the holder that a permitted run has ended; it is answered
	// by ReleaseAck.
	Release
	ReleaseAck
)
