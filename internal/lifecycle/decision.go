package lifecycle

import (
	"github.com/hickorybank/hickorybank/internal/request"
	"github.com/hickorybank/hickorybank/internal/upstream"
)

// Decision is an action that the user of a state machine must carry out.
type Decision interface{ decision() }

// Pick selects an upstream that has the version. When Retry is set, the retry budget must
// allow it first.
type Pick struct {
	Version string
	// Exclude lists the VMs at which an attempt of this request failed.
	Exclude []string
	Retry   bool
}

// Start sends an attempt to the selected upstream.
type Start struct {
	Attempt string
	Version string
	VM      string
}

// Resume reads an attempt's stream again from the chunk that follows number After.
type Resume struct {
	Attempt string
	VM      string
	After   int
}

// Cancel stops an attempt at its upstream; its result does not matter.
type Cancel struct {
	Attempt string
	VM      string
}

// Emit sends a chunk to the caller.
type Emit struct {
	Version string
	Seq     int
	Text    string
}

// Rate requests the score of an answer, which decides whether the answer is used.
type Rate struct {
	Version string
	Answer  string
}

// Bill makes the bill durable; the end of the answer is sent only afterwards.
type Bill struct {
	Version string
	Runs    []Run
}

// Finish ends the request with its complete answer.
type Finish struct {
	Version      string
	FinishReason string
	Usage        upstream.Usage
	Runs         []Run
	// Text is the text not yet sent to the caller; Seq is the number of its last chunk.
	Text string
	Seq  int
}

// Fail ends the request without a complete answer.
type Fail struct {
	Failure *request.Failure
}

// Run is one completed run that the bill covers; a cascade may have several.
type Run struct {
	Version string
	Usage   upstream.Usage
}

func (Pick) decision()   {}
func (Start) decision()  {}
func (Resume) decision() {}
func (Cancel) decision() {}
func (Emit) decision()   {}
func (Rate) decision()   {}
func (Bill) decision()   {}
func (Finish) decision() {}
func (Fail) decision()   {}
