package lifecycle

import (
	"net/http"
	"time"

	"github.com/hickorybank/hickorybank/internal/request"
	"github.com/hickorybank/hickorybank/internal/upstream"
)

// CallSettings are what a service call's life is decided by.
type CallSettings struct {
	// Idempotent calls may be repeated.
	Idempotent bool
	// Keyed says that the caller gave a key, so that it may send the call
	// again through another node. Without a key nobody can, and sending at
	// most once from here is enough.
	Keyed       bool
	MaxAttempts int
}

type callPhase int

const (
	callClaiming callPhase = iota
	callPicking
	callRunning
	callSettling
	callBilling
	callEnded
)

// Call is the life of one call of a plain service.
type Call struct {
	s       CallSettings
	phase   callPhase
	claimed bool
	sent    int
	doubts  int
	exclude []string
	vm      string
	// mayHaveRun decides between the outcomes not run and unknown.
	mayHaveRun bool
	answer     upstream.ServiceAnswer
}

// NewCall returns the machine of a call.
func NewCall(s CallSettings) *Call { return &Call{s: s} }

// Begin starts the call's life.
func (c *Call) Begin() []Decision {
	if c.needsClaim() {
		return []Decision{Claim{}}
	}
	c.phase = callPicking
	return []Decision{PickService{}}
}

func (c *Call) needsClaim() bool { return !c.s.Idempotent && c.s.Keyed }

// Ended says whether the final answer has been given.
func (c *Call) Ended() bool { return c.phase == callEnded }

// Claimed reports that the claim is durable. A claim that comes after the final
// answer is given back.
func (c *Call) Claimed() []Decision {
	if c.phase == callEnded {
		return []Decision{Release{}}
	}
	if c.phase != callClaiming {
		return nil
	}
	c.claimed = true
	c.phase = callPicking
	return []Decision{PickService{}}
}

// ClaimFailed reports that the request may not run, with what is true of it.
func (c *Call) ClaimFailed(f *request.Failure) []Decision {
	if c.phase != callClaiming {
		return nil
	}
	c.phase = callEnded
	return []Decision{Fail{Failure: f}}
}

// Replay reports that the claim was settled before: the caller gets the same
// answer again.
func (c *Call) Replay(answer upstream.ServiceAnswer) []Decision {
	if c.phase != callClaiming {
		return nil
	}
	c.phase = callEnded
	return []Decision{FinishCall{Answer: answer}}
}

// Picked reports the upstream for the next attempt.
func (c *Call) Picked(vm string) []Decision {
	if c.phase != callPicking {
		return nil
	}
	c.sent++
	c.vm = vm
	c.mayHaveRun = true
	c.phase = callRunning
	return []Decision{Send{VM: vm}}
}

// Refused reports that there is no upstream, that the retry budget is spent,
// or that the check just before sending failed.
func (c *Call) Refused(code request.Code, retryAfter time.Duration, message string) []Decision {
	if c.phase != callPicking {
		return nil
	}
	return c.end(code, retryAfter, message)
}

// Answered reports the service's whole answer. An answer that reports the
// service's own failure is passed on but not billed. An answer that comes
// after the caller was told "unknown" is still recorded under its claim, so
// that a retry with the same key gets it.
func (c *Call) Answered(answer upstream.ServiceAnswer) []Decision {
	if c.phase == callEnded && c.claimed {
		return []Decision{Settle{Answer: answer}}
	}
	if c.phase != callRunning {
		return nil
	}
	c.answer = answer
	if c.claimed {
		c.phase = callSettling
		return []Decision{Settle{Answer: answer}}
	}
	return c.billOrFinish()
}

func (c *Call) billOrFinish() []Decision {
	if c.answer.Status >= http.StatusInternalServerError {
		return c.finish()
	}
	c.phase = callBilling
	return []Decision{BillCall{}}
}

func (c *Call) finish() []Decision {
	c.phase = callEnded
	return []Decision{FinishCall{Answer: c.answer}}
}

// SendFailed reports that the call failed and how far it got.
func (c *Call) SendFailed(reach upstream.Reach) []Decision {
	if c.phase == callEnded {
		return c.failedLate(reach)
	}
	if c.phase != callRunning {
		return nil
	}
	c.exclude = append(c.exclude, c.vm)
	if reach != upstream.MaybeRun {
		c.mayHaveRun = c.doubts > 0
		return c.retry()
	}
	c.doubts++
	if c.s.Idempotent {
		return c.retry()
	}
	// A second sending could run it twice. Whatever became of the first, no
	// other attempt may follow, here or elsewhere under the same key.
	return append(c.settleUnknown(), c.end(request.CodeUpstreamFailed, 0, "the call may have run; its answer was lost")...)
}

func (c *Call) settleUnknown() []Decision {
	if !c.claimed {
		return nil
	}
	return []Decision{SettleUnknown{}}
}

// failedLate closes the claim of a call whose caller already has its answer.
func (c *Call) failedLate(reach upstream.Reach) []Decision {
	if reach == upstream.MaybeRun || c.doubts > 0 {
		return c.settleUnknown()
	}
	if !c.claimed {
		return nil
	}
	return []Decision{Release{}}
}

func (c *Call) retry() []Decision {
	if c.sent >= c.s.MaxAttempts {
		return c.end(request.CodeUpstreamFailed, retrySoon, "every upstream that was tried failed")
	}
	c.phase = callPicking
	return []Decision{PickService{Exclude: c.exclude, Retry: true}}
}

// Settled reports whether the answer and its bill are durable under the claim.
// When they are not, the bill alone may still be made safe; the claim then
// stays open and says "unknown" to a later retry, which is true for all that
// the store knows.
func (c *Call) Settled(ok bool) []Decision {
	if c.phase != callSettling {
		return nil
	}
	if ok {
		return c.finish()
	}
	return c.billOrFinish()
}

// Billed reports whether the bill is safe.
func (c *Call) Billed(ok bool) []Decision {
	if c.phase != callBilling {
		return nil
	}
	if ok {
		return c.finish()
	}
	return c.end(request.CodeLedger, 0, "the answer is whole but its bill could not be made safe")
}

// Expired reports that the deadline has passed.
func (c *Call) Expired(retryAfter time.Duration) []Decision {
	return c.stop(request.CodeDeadline, retryAfter, "the deadline has passed")
}

// CallerGone reports that nobody listens any more.
func (c *Call) CallerGone() []Decision {
	return c.stop(request.CodeCancelled, 0, "the caller has gone")
}

func (c *Call) stop(code request.Code, retryAfter time.Duration, message string) []Decision {
	if c.phase == callEnded {
		return nil
	}
	return c.end(code, retryAfter, message)
}

// end gives the final answer. A claim under which no byte has left is given
// back, so that the caller may come again with the same key.
func (c *Call) end(code request.Code, retryAfter time.Duration, message string) []Decision {
	c.phase = callEnded
	var out []Decision
	outcome := request.NotRun
	if c.mayHaveRun {
		outcome = request.Unknown
	} else if c.claimed {
		out = append(out, Release{})
	}
	return append(out, Fail{Failure: &request.Failure{Code: code, Message: message, Outcome: outcome, RetryAfter: retryAfter}})
}
