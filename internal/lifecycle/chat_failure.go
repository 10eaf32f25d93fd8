package lifecycle

import (
	"time"

	"github.com/hickorybank/hickorybank/internal/request"
	"github.com/hickorybank/hickorybank/internal/upstream"
)

// Broke reports that an attempt's sending or its stream failed. The reach is
// that of the sending; a resumption that could not be sent says nothing about
// whether the attempt ran.
func (c *Chat) Broke(attempt string, reach upstream.Reach, resuming bool) []Decision {
	if c.phase != running || attempt != c.current.id {
		return nil
	}
	if !resuming && reach != upstream.MaybeRun {
		return c.notRun()
	}
	if resuming && reach != upstream.MaybeRun {
		return c.elsewhere()
	}
	return c.resume()
}

// Failed reports that the upstream itself said that the attempt failed. There
// is nothing to resume.
func (c *Chat) Failed(attempt string) []Decision {
	if c.phase != running || attempt != c.current.id {
		return nil
	}
	return c.elsewhere()
}

// notRun tries elsewhere: this attempt is known not to have run.
func (c *Chat) notRun() []Decision {
	c.mayHaveRun = c.ranBefore()
	return c.retry(nil)
}

// ranBefore says whether an attempt before the current one may have run.
func (c *Chat) ranBefore() bool { return c.doubts > 0 || c.kept != nil }

// resume reads the attempt's stream again where it broke; the engine keeps it
// for a while. When that was tried often enough it runs elsewhere.
func (c *Chat) resume() []Decision {
	a := c.current
	if a.resumes >= c.s.MaxResumes {
		return c.elsewhere()
	}
	a.resumes++
	return []Decision{Resume{Attempt: a.id, VM: a.vm, After: a.lastSeq}}
}

// elsewhere gives the attempt up. After the first byte the caller hears only
// that attempt: another one's text would not continue it. So it ends in an
// error and never in a normal end.
func (c *Chat) elsewhere() []Decision {
	cancel := Cancel{Attempt: c.current.id, VM: c.current.vm}
	c.doubts++
	if c.emitted {
		return append([]Decision{cancel}, c.end(request.CodeUpstreamFailed, retrySoon, "the answer broke off and could not be resumed")...)
	}
	return c.retry([]Decision{cancel})
}

func (c *Chat) retry(out []Decision) []Decision {
	c.exclude = append(c.exclude, c.current.vm)
	c.current = nil
	c.phase = picking
	if c.sent >= c.s.MaxAttempts {
		return append(out, c.giveUp(request.CodeUpstreamFailed, retrySoon, "every upstream that was tried failed")...)
	}
	return append(out, Pick{Version: c.version(), Exclude: c.exclude, Retry: true})
}

// giveUp ends the request, with the answer of an earlier stage when there is
// one: a whole answer below the wished quality is worth more than none.
func (c *Chat) giveUp(code request.Code, retryAfter time.Duration, message string) []Decision {
	if c.kept == nil {
		return c.end(code, retryAfter, message)
	}
	c.current = c.kept
	return []Decision{c.bill()}
}

func (c *Chat) end(code request.Code, retryAfter time.Duration, message string) []Decision {
	c.phase = ended
	outcome := request.NotRun
	if c.mayHaveRun {
		outcome = request.Unknown
	}
	return []Decision{Fail{Failure: &request.Failure{Code: code, Message: message, Outcome: outcome, RetryAfter: retryAfter}}}
}

// Convicted reports that the request is known to crash upstreams.
func (c *Chat) Convicted() []Decision {
	return c.stop(request.CodeSuspect, 0, "upstreams crash on this request")
}

// Expired reports that the deadline has passed. The final answer goes out at
// once.
func (c *Chat) Expired(retryAfter time.Duration) []Decision {
	return c.stop(request.CodeDeadline, retryAfter, "the deadline has passed")
}

// CallerGone reports that nobody listens any more. A bill that is being
// written goes on outside. A stream that the caller may read on through
// another node is left to its engine, which drops it after a while.
func (c *Chat) CallerGone() []Decision {
	if c.phase == running && c.emitted && c.s.Resumable {
		return c.end(request.CodeCancelled, 0, "the caller has gone")
	}
	return c.stop(request.CodeCancelled, 0, "the caller has gone")
}

func (c *Chat) stop(code request.Code, retryAfter time.Duration, message string) []Decision {
	if c.phase == ended {
		return nil
	}
	var out []Decision
	if c.phase == running {
		out = append(out, Cancel{Attempt: c.current.id, VM: c.current.vm})
	}
	return append(out, c.end(code, retryAfter, message)...)
}
