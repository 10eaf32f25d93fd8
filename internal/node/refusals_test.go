package node

import (
	"fmt"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// An organisation says that it is refused and no metric shows whose requests
// are, of which class and why. What a caller claims without being known must
// not become a label, or the page grows with what is made up.
func TestRefusalsAreCountedByOrganisationClassAndReason(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := newFleet(t, fleetSize{nodes: 1})
	n := f.nodes[0]
	const chat = "/v1/chat/completions"
	good := `{"model":"dues@2","messages":[{"role":"user","content":"x"}]}`
	for i := range 3 {
		for _, s := range []sent{
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
		is.True(strings.Contains(page, line+"\n")) // the page has the line
	}
	is.True(!strings.Contains(page, "made-up"))
	is.Equal(strings.Count(page, "hickorybank_refusals_total{"), 5)
}
