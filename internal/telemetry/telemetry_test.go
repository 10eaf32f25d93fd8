package telemetry

import (
	"fmt"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/sourcegraph/conc"
	"go.uber.org/goleak"

	"github.com/hickorybank/hickorybank/internal/request"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

func scrape(s *Set) string {
	w := httptest.NewRecorder()
	s.Handler().ServeHTTP(w, httptest.NewRequest("GET", "/metrics", nil))
	return w.Body.String()
}

func completed() *Observation {
	return &Observation{
		Outcome: request.Completed, Version: "dues@1", FirstToken: 20 * time.Millisecond, TokenGap: 2 * time.Millisecond,
		Total: time.Second, Cost: 12, InputTokens: 3, OutputTokens: 4, CachedTokens: 1,
	}
}

func TestMetricsPageShowsObservations(t *testing.T) {
	is := is.New(t)
	s := New(Bounds{})
	s.Request("tolu", "draft").Observe(completed())
	s.Request("tolu", "draft").Observe(&Observation{Outcome: request.NotRun, Code: request.CodeOverloaded})
	s.Failed(request.CodeUnauthorised)
	s.Gauge("hickorybank_running", func() float64 { return 5 })
	s.Gauge("hickorybank_upstreams", func() float64 { return 2 }, "state", "live")
	s.Counter("hickorybank_retries_total").Inc()
	s.Histogram("hickorybank_commit_seconds", "table", "bills").Update(0.1)
	got := scrape(s)
	for _, line := range []string{
		`hickorybank_requests_total{organisation="tolu",class="draft",outcome="completed"} 1`,
		`hickorybank_requests_total{organisation="tolu",class="draft",outcome="not_run"} 1`,
		`hickorybank_requests_total{organisation="tolu",class="draft",outcome="unknown"} 0`,
		`hickorybank_request_seconds_count{organisation="tolu",class="draft"} 1`,
		`hickorybank_first_token_seconds_count{organisation="tolu",class="draft"} 1`,
		`hickorybank_token_gap_seconds_sum{organisation="tolu",class="draft"} 0.002`,
		`hickorybank_cost_micros_total{organisation="tolu",class="draft"} 12`,
		`hickorybank_tokens_total{organisation="tolu",class="draft",kind="output"} 4`,
		`hickorybank_answers_total{version="dues@1",outcome="completed"} 1`,
		`hickorybank_failures_total{code="overloaded"} 1`,
		`hickorybank_failures_total{code="invalid_api_key"} 1`,
		`hickorybank_running 5`,
		`hickorybank_upstreams{state="live"} 2`,
		`hickorybank_retries_total 1`,
		`hickorybank_commit_seconds_count{table="bills"} 1`,
		`process_resident_memory_bytes`,
	} {
		is.True(strings.Contains(got, line)) // the line
	}
}

// The metrics page must not grow without bound when callers use thousands of organisation
// names or every rollout adds a version. Values beyond the bound count together, and the
// sums stay complete.
func TestLabelsBeyondBoundCountAsOther(t *testing.T) {
	is := is.New(t)
	s := New(Bounds{Requests: 3, Versions: 2, Codes: 2, Refusals: 5})
	var all conc.WaitGroup
	for worker := range 4 {
		all.Go(func() {
			for i := range 100 {
				name := fmt.Sprint(worker, "-", i)
				s.Request(name, "draft").Observe(&Observation{Outcome: request.Completed, Version: name, Code: request.Code(name)})
				s.Refused(name, "draft", request.ReasonTooLarge)
			}
		})
	}
	all.Wait()
	got := scrape(s)
	is.Equal(strings.Count(got, "hickorybank_requests_total{"), (3+1)*3)
	is.Equal(strings.Count(got, "hickorybank_answers_total{"), (2+1)*3)
	is.Equal(strings.Count(got, "hickorybank_failures_total{"), 2+1)
	is.True(strings.Contains(got, `hickorybank_requests_total{organisation="other",class="draft",outcome="completed"} 397`))
	is.True(strings.Contains(got, `hickorybank_failures_total{code="other"} 398`))
	is.Equal(strings.Count(got, "hickorybank_refusals_total{"), 5+1)
	is.True(strings.Contains(got, `hickorybank_refusals_total{organisation="other",class="other",reason="too_large"} 395`))
}

func TestObservingAllocatesNothing(t *testing.T) {
	is := is.New(t)
	s := New(Bounds{Requests: 1})
	o := completed()
	o.Code = request.CodeDeadline
	work := func() {
		s.Request("tolu", "draft").Observe(o)
		s.Request("turbo", "draft").Observe(o) // beyond the bound
	}
	work()
	is.Equal(testing.AllocsPerRun(100, work), 0.0)
}

func TestHealthAndReadiness(t *testing.T) {
	is := is.New(t)
	w := httptest.NewRecorder()
	Healthz().ServeHTTP(w, httptest.NewRequest("GET", "/healthz", nil))
	is.Equal(w.Code, 200)
	var reasons []string
	ready := Readyz(func() []string { return reasons })
	w = httptest.NewRecorder()
	ready.ServeHTTP(w, httptest.NewRequest("GET", "/readyz", nil))
	is.Equal(w.Code, 200)
	reasons = []string{"no configuration is in force here yet", "stopping"}
	w = httptest.NewRecorder()
	ready.ServeHTTP(w, httptest.NewRequest("GET", "/readyz", nil))
	is.Equal(w.Code, 503)
	is.Equal(w.Body.String(), "no configuration is in force here yet\nstopping\n")
}

func BenchmarkObserve(b *testing.B) {
	s := New(Bounds{})
	o := completed()
	b.ReportAllocs()
	for b.Loop() {
		s.Request("tolu", "draft").Observe(o)
	}
}
