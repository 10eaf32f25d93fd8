package lifecycle

import (
	"github.com/hickorybank/hickorybank/internal/request"
	"github.com/hickorybank/hickorybank/internal/upstream"
)

// Decision is something that the caller of a machine must carry out.
type Decision interface{ decision() }

// Pick asks for an upstream that has the version. A pick with Retry set must
// first be allowed by the retry budget.
type Pick struct {
	Version string
	// Exclude are the VMs that failed this request before.
	Exclude []string
	Retry   bool
}

// Start sends an attempt.
type Start struct {
	Attempt string
	Version string
	VM      string
}

// Resume reads an attempt's stream again after the piece numbered After.
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

// Emit passes a piece to the caller.
type Emit struct {
	Version string
	Seq     int
	Text    string
}

// Rate asks for the rating of an answer before it may be used.
type Rate struct {
	Version string
	Answer  string
}

// Bill makes the bill safe; the answer's end waits for it.
type Bill struct {
	Version string
	Runs    []Run
}

// Finish ends the request with its whole answer.
type Finish struct {
	Version      string
	FinishReason string
	Usage        upstream.Usage
	Runs         []Run
	// Text is what has not been passed on yet; Seq is its last piece's number.
	Text string
	Seq  int
}

// Fail ends the request without a whole answer.
type Fail struct {
	Failure *request.Failure
}

// Run is one completed run that the bill covers; a cascade has several.
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
