package lifecycle

import "github.com/hickorybank/hickorybank/internal/upstream"

// Claim records durably that this request, and no other with its key, may run.
type Claim struct{}

// Release withdraws a claim under which no byte was sent.
type Release struct{}

// PickService selects an upstream of the service, other than the VMs in Exclude. When Retry
// is set, the retry budget must allow it first.
type PickService struct {
	Exclude []string
	Retry   bool
}

// Send sends the call to the selected upstream.
type Send struct {
	VM string
}

// Settle makes the answer and its bill durable under the claim.
type Settle struct {
	Answer upstream.ServiceAnswer
}

// SettleUnknown records that the call may have run and that its answer was lost. Its result
// does not matter, since an unsettled claim means the same.
type SettleUnknown struct{}

// BillCall makes the call's bill durable.
type BillCall struct{}

// FinishCall ends the call with its complete answer.
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
