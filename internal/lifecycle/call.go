package lifecycle

import (
	"net/http"
	"time"

	"github.com/hickorybank/hickorybank/internal/request"
	"github.com/hickorybank/hickorybank/internal/upstream"
)

// CallSettings are the settings of one service call.
type CallSettings struct {
	// Idempotent calls may be repeated.
	Idempotent bool
	// Keyed means that the caller gave an idempotency key and may resend the call through
	// another node. Without a key no other node can run it, so sending it at most once from
	// here is enough.
	Keyed bool
	// MaxAttempts bounds the attempts that are sent.
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

// Call is the state machine of one call of a plain service.
type Call struct {
	settings CallSettings
	phase    callPhase
	claimed  bool
	attempts int
	// ambiguous counts failed attempts that may have run.
	ambiguous int
	excluded  []string
	vm        string
	// mayHaveRun selects the outcome of a failure: unknown if set, else not run.
	mayHaveRun bool
	answer     upstream.ServiceAnswer
}

// NewCall returns the state machine of a call; Begin starts it.
func NewCall(s CallSettings) *Call { return &Call{settings: s} }

// Begin starts the call, with a claim when it has a key and may not be repeated.
func (c *Call) Begin() []Decision {
	if c.needsClaim() {
		return []Decision{Claim{}}
	}
	c.phase = callPicking
	return []Decision{PickService{}}
}

func (c *Call) needsClaim() bool { return !c.settings.Idempotent && c.settings.Keyed }

// Ended reports whether the final answer has been decided.
func (c *Call) Ended() bool { return c.phase == callEnded }

// Claimed is the event that the claim is durable. A claim that is confirmed after the final
// answer is released.
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

// ClaimFailed is the event that the call may not run; f is its final answer.
func (c *Call) ClaimFailed(f *request.Failure) []Decision {
	if c.phase != callClaiming {
		return nil
	}
	c.phase = callEnded
	return []Decision{Fail{Failure: f}}
}

// Replay is the event that the claim is settled already. The caller gets the recorded answer.
func (c *Call) Replay(answer upstream.ServiceAnswer) []Decision {
	if c.phase != callClaiming {
		return nil
	}
	c.phase = callEnded
	return []Decision{FinishCall{Answer: answer}}
}

// Picked is the event that an upstream was selected for the next attempt.
func (c *Call) Picked(vm string) []Decision {
	if c.phase != callPicking {
		return nil
	}
	c.attempts++
	c.vm = vm
	c.mayHaveRun = true
	c.phase = callRunning
	return []Decision{Send{VM: vm}}
}

// Refused is the event that no attempt can be sent: there is no upstream, the retry budget is
// exhausted or the check before sending failed.
func (c *Call) Refused(code request.Code, retryAfter time.Duration, message string) []Decision {
	if c.phase != callPicking {
		return nil
	}
	return c.fail(code, retryAfter, message)
}

// Answered is the event that the service's complete answer arrived. An answer with a 5xx
// status is forwarded but not billed. An answer that arrives after the outcome was reported
// as unknown is still recorded under its claim, so that a retry with the same key gets it.
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

// SendFailed is the event that the attempt failed; reach says how far it got.
func (c *Call) SendFailed(reach upstream.Reach) []Decision {
	if c.phase == callEnded {
		return c.closeLateClaim(reach)
	}
	if c.phase != callRunning {
		return nil
	}
	c.excluded = append(c.excluded, c.vm)
	if reach != upstream.MaybeRun {
		c.mayHaveRun = c.ambiguous > 0
		return c.retry()
	}
	c.ambiguous++
	if c.settings.Idempotent {
		return c.retry()
	}
	// A second attempt could run the call twice. Whatever became of the first, no other
	// attempt may follow, here or at another node under the same key.
	return append(c.settleUnknown(), c.fail(request.CodeUpstreamFailed, 0, "the call may have run; its answer was lost")...)
}

func (c *Call) settleUnknown() []Decision {
	if !c.claimed {
		return nil
	}
	return []Decision{SettleUnknown{}}
}

// closeLateClaim closes the claim of a call whose final answer has already been sent.
func (c *Call) closeLateClaim(reach upstream.Reach) []Decision {
	if reach == upstream.MaybeRun || c.ambiguous > 0 {
		return c.settleUnknown()
	}
	if !c.claimed {
		return nil
	}
	return []Decision{Release{}}
}

func (c *Call) retry() []Decision {
	if c.attempts >= c.settings.MaxAttempts {
		return c.fail(request.CodeUpstreamFailed, retryDelay, "every upstream that was tried failed")
	}
	c.phase = callPicking
	return []Decision{PickService{Exclude: c.excluded, Retry: true}}
}

// Settled is the event that the settlement succeeded or failed: whether the answer and its
// bill are durable under the claim. On failure the bill alone is made durable. The claim then
// stays open, and a later retry gets the outcome unknown, which is correct as far as the
// store can tell.
func (c *Call) Settled(ok bool) []Decision {
	if c.phase != callSettling {
		return nil
	}
	if ok {
		return c.finish()
	}
	return c.billOrFinish()
}

// Billed is the event that billing succeeded or failed: whether the bill is durable.
func (c *Call) Billed(ok bool) []Decision {
	if c.phase != callBilling {
		return nil
	}
	if ok {
		return c.finish()
	}
	return c.fail(request.CodeLedger, 0, "the answer is whole but its bill could not be made safe")
}

// Expired is the event that the deadline has passed.
func (c *Call) Expired(retryAfter time.Duration) []Decision {
	return c.failUnlessEnded(request.CodeDeadline, retryAfter, "the deadline has passed")
}

// CallerDisconnected is the event that the caller has disconnected.
func (c *Call) CallerDisconnected() []Decision {
	return c.failUnlessEnded(request.CodeCancelled, 0, "the caller has gone")
}

func (c *Call) failUnlessEnded(code request.Code, retryAfter time.Duration, message string) []Decision {
	if c.phase == callEnded {
		return nil
	}
	return c.fail(code, retryAfter, message)
}

// fail decides the final answer. It releases a claim under which no byte was sent, so that the
// caller can retry with the same key.
func (c *Call) fail(code request.Code, retryAfter time.Duration, message string) []Decision {
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
