package scenario

import (
	"encoding/json"
	"strconv"
	"time"

	"github.com/rotisserie/eris"

	"github.com/hickorybank/hickorybank/internal/standin/service"
)

const (
	// retryTimeout is how long a caller retries a request.
	retryTimeout = 20 * time.Second
	// defaultRetryDelay is the delay before a retry if the answer has no Retry-After.
	// maxRetryDelay caps a Retry-After, so that a scenario stays short.
	defaultRetryDelay = 100 * time.Millisecond
	maxRetryDelay     = time.Second
	// maxUnknownSends is the maximum number of sends of a request whose outcome is unknown,
	// with the load option retryUnknown.
	maxUnknownSends = 4
)

// request sends a request until it has a final answer. After a broken connection or an
// answer with Retry-After it sends the request with the same key through another entry. A
// first answer "not run" is final, so that it can be checked against the upstreams' runs.
func (l *load) request(o call, cache *addressCache) record {
	r := record{call: o, neverReached: true}
	end := time.Now().Add(retryTimeout)
	for {
		o.entry, o.addr = "", cache.next()
		if o.addr != "" {
			r.arrivals++
			r.last = l.caller.do(o)
			r.appendHistory()
			if r.last.unreached {
				cache.markUnreachable(o.addr)
			}
			if l.handleResult(&r, &o) || l.options.once {
				return r
			}
		}
		if time.Now().After(end) {
			return r
		}
		time.Sleep(retryDelay(r.last))
	}
}

// handleResult records one answer and returns whether it is final. After an interrupted
// stream it turns the call into one that resumes the stream.
func (l *load) handleResult(r *record, o *call) bool {
	last := r.last
	if last.outcome == completed && last.answerErr == nil && !o.chat() {
		last.answerErr = checkService(*o, last.text)
	}
	if last.answerErr != nil {
		r.answerErrs = append(r.answerErrs, last.answerErr)
	}
	began := o.resumeFrom
	o.resumeFrom = nil
	switch last.outcome {
	case completed:
		return true
	case notRun:
		if r.neverReached && !l.options.retryNotRun {
			return true
		}
		r.neverReached = false
		return last.retry == ""
	case unknown:
		r.neverReached = false
		if l.options.retryUnknown && r.arrivals < maxUnknownSends {
			return false
		}
		return last.retry == "" && began == nil
	}
	if last.unreached {
		o.resumeFrom = began
		return false
	}
	r.cuts++
	r.neverReached = false
	if last.stream != "" {
		o.resumeFrom = &last
	}
	return false
}

func retryDelay(r result) time.Duration {
	seconds, err := strconv.Atoi(r.retry)
	if err != nil || seconds <= 0 {
		return defaultRetryDelay
	}
	return min(time.Duration(seconds)*time.Second, maxRetryDelay)
}

// checkService returns an error if the service answer belongs to another call.
func checkService(o call, text string) error {
	var answer service.Answer
	if err := json.Unmarshal([]byte(text), &answer); err != nil {
		return eris.Errorf("parse service answer %q: %v", text, err)
	}
	if answer.Path != o.path || answer.Key != o.org+"."+o.key || answer.Echo != o.body {
		return eris.Errorf("service answer to %s %s belongs to another call: %q", o.key, o.path, text)
	}
	return nil
}
