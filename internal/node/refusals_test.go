package node

import (
	"fmt"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// Every refusal is attributed to an organisation, class and reason by a metric.
// Unverified names in a request must not become labels, or invented names would create
// any number of time series.
func TestRefusalsAreCountedByOrganisationClassAndReason(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := newFleet(t, fleetSize{nodes: 1})
	n := f.nodes[0]
	const chat = "/v1/chat/completions"
	good := `{"model":"dues@2","messages":[{"role":"user","content":"x"}]}`
	for i := range 3 {
		for _, s := range []callerRequest{
			{path: chat, body: good}, // there is no engine
			{path: chat, body: good, header: map[string]string{"Authorization": fmt.Sprint("Bearer made-up-", i)}},
			{path: chat, body: "{", header: map[string]string{"Hickorybank-Class": "draft"}},
			{path: chat, body: good, header: map[string]string{"Hickorybank-Class": fmt.Sprint("made-up-", i)}},
			{path: fmt.Sprint("/v9/", i), body: good},
		} {
			_, err := f.post(n, s)
			is.NoErr(err)
		}
	}
	w := httptest.NewRecorder()
	n.metrics.Handler().ServeHTTP(w, httptest.NewRequest("GET", "/metrics", nil))
	page := w.Body.String()
	for _, line := range []string{
		`hickorybank_refusals_total{organisation="cartagena",class="draft",reason="no_upstream"} 3`,
		`hickorybank_refusals_total{organisation="unknown",class="unknown",reason="invalid_api_key"} 3`,
		`hickorybank_refusals_total{organisation="cartagena",class="draft",reason="malformed"} 3`,
		`hickorybank_refusals_total{organisation="cartagena",class="unknown",reason="bad_request"} 3`,
		`hickorybank_refusals_total{organisation="unknown",class="unknown",reason="unknown_path"} 3`,
		`hickorybank_failures_total{code="invalid_api_key"} 3`,
		`hickorybank_failures_total{code="no_upstream"} 3`,
	} {
		is.True(strings.Contains(page, line+"\n")) // the metric has this value
	}
	is.True(!strings.Contains(page, "made-up"))
	is.Equal(strings.Count(page, "hickorybank_refusals_total{"), 5)
}
