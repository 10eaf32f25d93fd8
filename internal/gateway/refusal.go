package gateway

import (
	"encoding/json"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"github.com/hickorybank/hickorybank/internal/event"
)

// refusal is a final answer of the router's own.
type refusal struct {
	status int
	reason string
	text   string
	// retryAfter is when the caller should usually come back; 0 for no word on
	// it.
	retryAfter time.Duration
}

var (
	notYet        = &refusal{status: http.StatusServiceUnavailable, reason: "not_ready", text: "this node does not know the configuration yet", retryAfter: unknownRetryAfter}
	unknownRoute  = &refusal{status: http.StatusNotFound, reason: "unknown_route", text: "no route for this host and path"}
	unknownKey    = &refusal{status: http.StatusUnauthorized, reason: "unknown_key", text: "the key is not known"}
	bodyTooLarge  = &refusal{status: http.StatusRequestEntityTooLarge, reason: "body_too_large", text: "body is too large"}
	tooManyBodies = &refusal{status: http.StatusServiceUnavailable, reason: "memory", text: "too many bodies are under way", retryAfter: refusedRetryAfter}
	suspectWork   = &refusal{status: http.StatusServiceUnavailable, reason: "crashes_upstreams", text: "this request crashed the upstreams that ran it", retryAfter: suspectRetryAfter}
	noUpstream    = &refusal{status: http.StatusServiceUnavailable, reason: "no_upstream", text: "no upstream can take the request now", retryAfter: refusedRetryAfter}
	notInTime     = &refusal{status: http.StatusServiceUnavailable, reason: "not_in_time", text: "no upstream took the request in time", retryAfter: refusedRetryAfter}
	turnedAway    = &refusal{status: http.StatusServiceUnavailable, reason: "upstreams_full", text: "the upstreams are full", retryAfter: refusedRetryAfter}
	broken        = &refusal{status: http.StatusBadGateway, reason: "upstream_broke", text: "the upstream failed; the request may have run"}
	tooLate       = &refusal{status: http.StatusGatewayTimeout, reason: "time_over", text: "no answer within the time limit; the request may have run"}
)

// leastRetryAfter keeps refused callers from returning at once.
const leastRetryAfter = 100 * time.Millisecond

// upstreamsPaced refuses a request for which no upstream has room before a time.
func upstreamsPaced(wait time.Duration) *refusal {
	return &refusal{
		status: http.StatusServiceUnavailable, reason: "upstreams_paced", text: "the upstreams take no more requests for now",
		retryAfter: max(wait, leastRetryAfter),
	}
}

// suspectRetryAfter is long: nothing about the request will change soon.
const suspectRetryAfter = 30 * time.Second

// promises tells whether a status says that the request has not run.
func promises(status int) bool {
	return status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests
}

// refuse sends the router's own final answer at once. A status that promises
// that nothing has run is replaced where that is not certain.
func (j *job) refuse(ref *refusal) {
	if j.mayHaveRun && promises(ref.status) {
		ref = broken
	}
	j.outcome = ref.reason
	h := j.w.Header()
	if id := j.ask.ID; id != "" {
		h.Set(j.node.dialect.IDField(), id)
	}
	if ref.retryAfter > 0 {
		after := retryAfterOf(ref.retryAfter, j.priority, rand.Float64())
		h.Set("Retry-After", strconv.FormatFloat(after.Seconds(), 'f', -1, 64))
	}
	body, err := json.Marshal(struct {
		Error  string `json:"error"`
		Reason string `json:"reason"`
		Ran    string `json:"outcome"`
	}{ref.text, ref.reason, outcomeOf(j.mayHaveRun)})
	if err != nil {
		panic(err) // three texts always encode
	}
	h.Set("Content-Type", "application/json")
	h.Set("Content-Length", strconv.Itoa(len(body)))
	j.w.WriteHeader(ref.status)
	_, _ = j.w.Write(body) // the caller may have gone
	e := event.ForwardRefused
	if j.mayHaveRun {
		e = event.ForwardFailed
	}
	j.node.event(e, j, slog.Int("status", ref.status), slog.String("reason", ref.reason))
	j.observe(ref.status)
}

func outcomeOf(mayHaveRun bool) string {
	if mayHaveRun {
		return "unknown"
	}
	return "not_run"
}
