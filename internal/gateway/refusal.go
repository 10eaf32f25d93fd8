package gateway

import (
	"encoding/json"
	"log/slog"
	"net/http"
	"strconv"
	"time"

	"github.com/hickorybank/hickorybank/internal/event"
)

// refusal is a final answer that the gateway itself produces.
type refusal struct {
	status int
	reason string
	text   string
	// retryAfter is when the caller should usually retry; 0 to omit it.
	retryAfter time.Duration
}

var (
	notReady        = &refusal{status: http.StatusServiceUnavailable, reason: "not_ready", text: "this node does not know the configuration yet", retryAfter: notReadyRetryAfter}
	outdatedConfig  = &refusal{status: http.StatusServiceUnavailable, reason: "config_outdated", text: "this node's configuration is out of date", retryAfter: notReadyRetryAfter}
	unknownRoute    = &refusal{status: http.StatusNotFound, reason: "unknown_route", text: "no route for this host and path"}
	unknownKey      = &refusal{status: http.StatusUnauthorized, reason: "unknown_key", text: "the key is not known"}
	bodyTooLarge    = &refusal{status: http.StatusRequestEntityTooLarge, reason: "body_too_large", text: "body is too large"}
	tooManyBodies   = &refusal{status: http.StatusServiceUnavailable, reason: "memory", text: "too many bodies are under way", retryAfter: refusedRetryAfter}
	crashingRequest = &refusal{status: http.StatusServiceUnavailable, reason: "crashes_upstreams", text: "requests like this one crash upstreams", retryAfter: crashingRetryAfter}
	// crashedUpstreams carries a Retry-After, as its requests may be repeated.
	crashedUpstreams = &refusal{status: http.StatusBadGateway, reason: "crashes_upstreams", text: "requests like this one crash upstreams; it may have run", retryAfter: crashingRetryAfter}
	noUpstream       = &refusal{status: http.StatusServiceUnavailable, reason: "no_upstream", text: "no upstream can take the request now", retryAfter: refusedRetryAfter}
	noLink           = &refusal{status: http.StatusServiceUnavailable, reason: "no_link", text: "this node does not reach the upstreams", retryAfter: refusedRetryAfter}
	notInTime        = &refusal{status: http.StatusServiceUnavailable, reason: "not_in_time", text: "no upstream took the request in time", retryAfter: refusedRetryAfter}
	upstreamsFull    = &refusal{status: http.StatusServiceUnavailable, reason: "upstreams_full", text: "the upstreams are full", retryAfter: refusedRetryAfter}
	upstreamFailed   = &refusal{status: http.StatusBadGateway, reason: "upstream_broke", text: "the upstream failed; the request may have run"}
	nodeStops        = &refusal{status: http.StatusServiceUnavailable, reason: "stopping", text: "this node stops before the request could end", retryAfter: minRetryAfter}
	timedOut         = &refusal{status: http.StatusGatewayTimeout, reason: "time_over", text: "no answer within the time limit; the request may have run"}
)

// minRetryAfter keeps refused callers from retrying immediately.
const minRetryAfter = 100 * time.Millisecond

// upstreamsPaced returns the refusal of a request for which upstreams have capacity only
// after wait.
func upstreamsPaced(wait time.Duration) *refusal {
	return &refusal{
		status: http.StatusServiceUnavailable, reason: "upstreams_paced", text: "the upstreams take no more requests for now",
		retryAfter: max(wait, minRetryAfter),
	}
}

// crashingRetryAfter is long, as a request that crashed upstreams stays blocked for a
// while.
const crashingRetryAfter = 30 * time.Second

// quarantinedRetryAfter is short, as a trial soon tells whether the request crashes upstreams.
const quarantinedRetryAfter = time.Second

// crashRefusal returns a refusal for the key by which the request is blocked.
func (j *job) crashRefusal(ref *refusal) *refusal {
	if !j.quarantined {
		return ref
	}
	r := *ref
	r.retryAfter = quarantinedRetryAfter
	return &r
}

// promisesNotRun reports whether a status states that the request has not run.
func promisesNotRun(status int) bool {
	return status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests
}

// refuse sends a final answer of the gateway's own. If the request may have run, a status
// that promises the opposite is replaced.
func (j *job) refuse(ref *refusal) {
	if j.mayHaveRun && promisesNotRun(ref.status) {
		ref = upstreamFailed
	}
	j.outcome = ref.reason
	h := j.w.Header()
	if id := j.headers.ID; id != "" {
		h.Set(j.node.dialect.IDField(), id)
	}
	if ref.retryAfter > 0 {
		after := retryAfterOf(ref.retryAfter, j.priority, j.node.draws.Float64())
		h.Set("Retry-After", strconv.FormatFloat(after.Seconds(), 'f', -1, 64))
	}
	body, err := json.Marshal(struct {
		Error  string `json:"error"`
		Reason string `json:"reason"`
		Ran    string `json:"outcome"`
	}{ref.text, ref.reason, executionOutcome(j.mayHaveRun)})
	if err != nil {
		panic(err) // three strings always encode
	}
	h.Set("Content-Type", "application/json")
	h.Set("Content-Length", strconv.Itoa(len(body)))
	j.w.WriteHeader(ref.status)
	_, _ = j.w.Write(body) // the caller may have gone
	e := event.ForwardRefused
	if j.mayHaveRun {
		e = event.ForwardFailed
	}
	attrs := []slog.Attr{slog.Int("status", ref.status), slog.String("reason", ref.reason)}
	if j.blockedBy != 0 {
		attrs = append(attrs, slog.String("key", keyText(j.blockedBy)), slog.String("parts", j.sharedParts()))
	}
	if ref.isConfigured() || ref == outdatedConfig {
		attrs = append(attrs, j.node.configKnowledge()...)
	}
	j.node.logEvent(e, j, attrs...)
	j.observe(ref.status)
}

// unplacedRefusal returns the refusal of a request that no upstream takes and none has run.
func (j *job) unplacedRefusal(now time.Time) *refusal {
	switch {
	case !j.roomAt.IsZero():
		return upstreamsPaced(j.roomAt.Sub(now))
	case j.attemptsReached > 0:
		return upstreamsFull
	case j.linkLost:
		return noLink
	default:
		return noUpstream
	}
}

// isConfigured reports whether the refusal follows from the configuration alone, which may be
// out of date.
func (r *refusal) isConfigured() bool {
	return r.status == http.StatusUnauthorized || r.status == http.StatusForbidden || r.status == http.StatusNotFound
}

// executionOutcome returns the outcome field of a refusal's body.
func executionOutcome(mayHaveRun bool) string {
	if mayHaveRun {
		return "unknown"
	}
	return "not_run"
}
