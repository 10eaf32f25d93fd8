package lifecycle

import (
	"time"

	"github.com/hickorybank/hickorybank/internal/request"
	"github.com/hickorybank/hickorybank/internal/upstream"
)

// ConnectionFailed is the event that sending an attempt, resuming it or reading its stream
// failed. With resuming set, reach is that of the resumption and says nothing about whether the
// attempt ran. Without a connection, a resumption of an answer of which the caller has a part is
// repeated: nothing else can continue it.
func (c *Chat) ConnectionFailed(attempt string, reach upstream.Reach, resuming bool) []Decision {
	if c.phase != running || attempt != c.current.id {
		return nil
	}
	if !resuming && reach != upstream.MaybeRun {
		return c.retryNotRun()
	}
	if resuming && reach != upstream.MaybeRun && !(c.emitted && reach == upstream.NotSent) {
		return c.abandonUnlessResumable()
	}
	return c.resume()
}

// EngineFailed is the event that the upstream reported the attempt's failure. There is nothing to
// resume.
func (c *Chat) EngineFailed(attempt string) []Decision {
	if c.phase != running || attempt != c.current.id {
		return nil
	}
	return c.abandon()
}

// retryNotRun retries at another upstream after an attempt that is known not to have run.
func (c *Chat) retryNotRun() []Decision {
	c.mayHaveRun = c.earlierMayHaveRun()
	return c.retry(nil)
}

// earlierMayHaveRun reports whether an attempt before the current one may have run.
func (c *Chat) earlierMayHaveRun() bool { return c.ambiguous > 0 || c.earlier != nil }

// resume reads the attempt's stream again after the last accepted chunk; the engine keeps a
// stream for a limited time. After MaxResumes resumptions the attempt is abandoned.
func (c *Chat) resume() []Decision {
	a := c.current
	if a.resumes >= c.settings.MaxResumes {
		return c.abandonUnlessResumable()
	}
	a.resumes++
	return []Decision{Resume{Attempt: a.id, VM: a.vm, After: a.lastSeq}}
}

// abandonUnlessResumable abandons an attempt that this node can't read on. The attempt of a
// resumable stream is not cancelled, so that the caller can resume it through another node.
func (c *Chat) abandonUnlessResumable() []Decision {
	if c.emitted && c.settings.Resumable {
		return c.failBrokenOff()
	}
	return c.abandon()
}

// failBrokenOff fails a request whose caller has a part of the answer.
func (c *Chat) failBrokenOff() []Decision {
	return c.fail(request.CodeUpstreamFailed, retryDelay, "the answer broke off and could not be resumed")
}

// abandon cancels the attempt and retries at another upstream. Once a chunk has been sent to
// the caller, no other attempt's text could continue the answer, so the request fails instead.
func (c *Chat) abandon() []Decision {
	cancel := Cancel{Attempt: c.current.id, VM: c.current.vm}
	c.ambiguous++
	if c.emitted {
		return append([]Decision{cancel}, c.failBrokenOff()...)
	}
	return c.retry([]Decision{cancel})
}

func (c *Chat) retry(out []Decision) []Decision {
	c.excluded = append(c.excluded, c.current.vm)
	c.current = nil
	c.phase = picking
	if c.attempts >= c.settings.MaxAttempts {
		return append(out, c.useEarlierOrFail(request.CodeUpstreamFailed, retryDelay, "every upstream that was tried failed")...)
	}
	return append(out, Pick{Version: c.version(), Exclude: c.excluded, Retry: true})
}

// useEarlierOrFail ends the request, with the answer of an earlier stage if there is one: a
// complete answer below the quality threshold is better than none.
func (c *Chat) useEarlierOrFail(code request.Code, retryAfter time.Duration, message string) []Decision {
	if c.earlier == nil {
		return c.fail(code, retryAfter, message)
	}
	c.current = c.earlier
	return []Decision{c.bill()}
}

func (c *Chat) fail(code request.Code, retryAfter time.Duration, message string) []Decision {
	c.phase = ended
	outcome := request.NotRun
	if c.mayHaveRun {
		outcome = request.Unknown
	}
	return []Decision{Fail{Failure: &request.Failure{Code: code, Message: message, Outcome: outcome, RetryAfter: retryAfter}}}
}

// Convicted is the event that the request is known to crash upstreams. No further attempt is sent.
func (c *Chat) Convicted() []Decision {
	if c.phase == picking {
		return c.useEarlierOrFail(request.CodeSuspect, 0, "upstreams crash on this request")
	}
	return c.cancelAndFail(request.CodeSuspect, 0, "upstreams crash on this request")
}

// Expired is the event that the deadline has passed. The final answer is decided at once.
func (c *Chat) Expired(retryAfter time.Duration) []Decision {
	return c.cancelAndFail(request.CodeDeadline, retryAfter, "the deadline has passed")
}

// CallerDisconnected is the event that the caller has disconnected. A bill in progress is still
// written, outside this state machine. The attempt of a resumable stream is not cancelled, so
// that the caller can resume it through another node; its engine drops it after a time.
func (c *Chat) CallerDisconnected() []Decision {
	if c.phase == running && c.emitted && c.settings.Resumable {
		return c.fail(request.CodeCancelled, 0, "the caller has gone")
	}
	return c.cancelAndFail(request.CodeCancelled, 0, "the caller has gone")
}

func (c *Chat) cancelAndFail(code request.Code, retryAfter time.Duration, message string) []Decision {
	if c.phase == ended {
		return nil
	}
	var out []Decision
	if c.phase == running {
		out = append(out, Cancel{Attempt: c.current.id, VM: c.current.vm})
	}
	return append(out, c.fail(code, retryAfter, message)...)
}
