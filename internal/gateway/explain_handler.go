package gateway

import (
	"encoding/json"
	"fmt"
	"net/http"

	"golang.org/x/time/rate"

	"github.com/hickorybank/hickorybank/internal/explain"
)

const (
	// explainRate and explainBurst bound the questions per second. Each one stops the node's
	// decisions for about a millisecond where a service has 10,000 upstreams.
	explainRate  = 5
	explainBurst = 10
)

// explainHandler answers where the request in the query would go. A wrong query is answered with
// 400, a question too many with 429, both with a JSON object with the field "error".
type explainHandler struct {
	node    *Node
	limiter *rate.Limiter
}

func newExplainHandler(n *Node) *explainHandler {
	return &explainHandler{n, rate.NewLimiter(explainRate, explainBurst)}
}

func (h *explainHandler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Cache-Control", "no-store")
	request, err := explain.Parse(r.URL.Query())
	status := http.StatusBadRequest
	var report explain.Report
	switch {
	case err != nil:
	case !h.limiter.Allow():
		status, err = http.StatusTooManyRequests, fmt.Errorf("too many questions; accepted: %d a second", explainRate)
		w.Header().Set("Retry-After", "1")
	default:
		report, err = h.node.Explain(request)
	}
	var answer any = &report
	if err != nil {
		w.WriteHeader(status)
		answer = map[string]string{"error": err.Error()}
	}
	_ = json.NewEncoder(w).Encode(answer) // the caller may have gone
}
