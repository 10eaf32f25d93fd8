package lifecycle

import "github.com/hickorybank/hickorybank/internal/upstream"

// Claim makes it durable that this request, and no other with its key, may
// run.
type Claim struct{}

// Release gives a claim back: no byte of the request has left.
type Release struct{}

// PickService asks for an upstream that offers the service.
type PickService struct {
	Exclude []string
	Retry   bool
}

// Send sends the call.
type Send struct {
	VM string
}

// Settle makes the answer and its bill durable under the claim.
type Settle struct {
	Answer upstream.ServiceAnswer
}

// SettleUnknown records that the call may have run and that no answer came.
// Its result does not matter: a claim that is never settled says the same.
type SettleUnknown struct{}

// BillCall makes the call's bill safe.
type BillCall struct{}

// FinishCall ends the request with its whole answer.
type FinishCall struct {
	Answer upstream.ServiceAnswer
}

func (Claim) decision()         {}
func (Release) decision()       {}
func (PickService) decision()   {}
func (Send) decision()          {}
func (Settle) decision()        {}
func (SettleUnknown) decision() {}
func (BillCall) decision()      {}
func (FinishCall) decision()    {}
