package gateway

import (
	"fmt"
	"maps"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/hickorybank/hickorybank/internal/canary"
	"github.com/hickorybank/hickorybank/internal/explain"
	"github.com/hickorybank/hickorybank/internal/fleet"
	"github.com/hickorybank/hickorybank/internal/route"
)

// newExplainNode returns a node with three upstreams of v1 and two of v2, which is on trial.
func newExplainNode(now time.Time) *Node {
	n := newGroupNode(true)
	n.settings.RetrySlack, n.settings.RetryRatio, n.settings.RetryWindow = 52, 0.9, 10*time.Second
	n.view.listRevision, n.view.listAsOf = 1, now.Add(-time.Second)
	for i := range 5 {
		version := fmt.Sprintf("v%d", 1+i/3)
		n.fleet.Put(fleet.Record{ID: fmt.Sprintf("u%d", i), Service: "engine", Addr: fmt.Sprintf("10.0.0.%d:1", i), Version: version, Slots: 8}, now)
		n.noteVersion("engine", version, now.Add(-time.Minute))
	}
	n.canary = canary.New(canary.Settings{ShareBound: 0.15, Slack: 30, Session: 5 * time.Second}, "n0", 1)
	n.canary.AddOrder(canary.Order{Service: "engine", Target: "v2", Limit: time.Minute, Revision: 1}, now)
	routes := []*route.Route{
		{Name: "choice", Host: "h", Prefix: "/choice/", Kind: route.Stream, Shares: []route.Share{{Service: "engine", Weight: 1}}, Models: []string{"small", "large"}, MaxAttempts: 3, LatencyGoal: time.Second, Resumable: true},
		{Name: "bound", Host: "h", Prefix: "/bound/", Kind: route.Stream, Shares: []route.Share{{Service: "engine", Weight: 1}}, Regions: []string{"elsewhere"}},
	}
	orgs := []route.Organisation{{Name: "harbour", Keys: []string{"secret-key"}, Priority: 2, HasPriority: true}}
	n.config.Store(&configuration{Table: route.New(7, route.Limits{}, routes, nil, orgs)})
	return n
}

// Fails if an explanation names another upstream or model than the request gets, or lacks the
// reason of a refusal.
func TestExplainTellsTheDecision(t *testing.T) {
	is := is.New(t)
	n := newExplainNode(time.Now())
	r, err := n.Explain(explain.Request{Host: "h", Path: "/choice/a", Organisation: "harbour", TokensIn: 900, Session: "s"})
	is.NoErr(err)
	is.Equal(r.Refusal, nil)
	is.Equal([]string{r.Route, r.Service, r.Model.Name}, []string{"choice", "engine", "small"})
	is.Equal(r.Priority, 2)
	is.Equal(r.Upstream, r.Candidates[0].Upstream)
	is.Equal(r.Version.Excluded, []string{"v2"}) // on trial
	is.Equal(r.Excluded, []explain.Excluded{{Reason: "other_version", Count: 2}})
	is.True(r.RetryBudgetLeft > 20)
	is.True(r.Ages.TableMs >= 1000)
	is.Equal(r.Ages.InFlightMs, -1.0)

	r, err = n.Explain(explain.Request{Host: "h", Path: "/bound/a", Organisation: "harbour"})
	is.NoErr(err)
	is.Equal(r.Refusal.Reason, "no_upstream")
	is.Equal([]float64{r.Refusal.RetryAfterMs, r.Refusal.RetryAfterMaxMs}, []float64{900, 1200}) // of its priority
	is.Equal(r.Excluded, []explain.Excluded{{Reason: "other_region", Count: 5}})
}

// Fails if an explanation counts, reserves or notes anything outside the fleet, whose own test
// covers the rest.
func TestExplainLeavesTheNodeAsItWas(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	n := newExplainNode(now)
	n.heldVersions[versionKey("engine", "v2")] = now.Add(-time.Hour) // its hold is over, unnoticed so far
	delete(n.allowedVersions, versionKey("engine", "v2"))
	allowed := maps.Clone(n.allowedVersions)
	for i := range 200 {
		_, err := n.Explain(explain.Request{Host: "h", Path: "/choice/a", Organisation: "harbour", Session: fmt.Sprint(i), TokensIn: 5000})
		is.NoErr(err)
	}
	is.Equal(n.allowedVersions, allowed)
	is.Equal(len(n.canary.Pins(now)), 0)
	is.Equal(n.canary.Tallies(now)[0].Requests, int64(0))
	is.Equal(len(n.budgets), 0)
	is.Equal(n.active.Load(), int64(0))
	for i := range 5 {
		is.Equal(n.fleet.Get(fmt.Sprintf("u%d", i)).InFlight(), 0)
	}
	for i := range 200 { // requests do leave the traces that are checked above
		j := &job{node: n, route: n.config.Load().Match("h", "/choice/a"), config: n.config.Load(), headers: CallerHeaders{Session: fmt.Sprint(i)}}
		j.identify(http.MethodGet, "/choice/a")
		n.newAttempt(j)
		n.countRequest("engine")
	}
	is.True(n.allowedVersions[versionKey("engine", "v2")])
	is.True(len(n.canary.Pins(now)) > 0)
	is.Equal(n.canary.Tallies(now)[0].Requests, int64(200))
	is.Equal(len(n.budgets), 1)
}

// Fails if a wrong question gets an answer to another one, or an error without the field.
func TestExplainHandler(t *testing.T) {
	n := newExplainNode(time.Now())
	for query, want := range map[string]string{
		"host=h&path=/choice/a&organisation=harbour": `200 "reason":"other_version"`,
		"host=h&path=/nowhere":                       `200 "reason":"unknown_route"`,
		"host=h&path=/choice/a":                      `200 "reason":"unknown_key"`,
		"host=h&path=/choice/a&organisation=nobody":  `400 organisation is \"nobody\"`,
		"host=h&path=/choice/a&tokens_in=x":          `400 tokens_in is \"x\"`,
		"host=h":                                     `400 path is \"\"`,
	} {
		w := httptest.NewRecorder()
		n.metricsRouter().ServeHTTP(w, httptest.NewRequest(http.MethodGet, explain.Path+"?"+query, nil))
		status, part, _ := strings.Cut(want, " ")
		if fmt.Sprint(w.Code) != status || !strings.Contains(w.Body.String(), part) || strings.Contains(w.Body.String(), "secret-key") {
			t.Errorf("%s: %d %s, want %s", query, w.Code, w.Body, want)
		}
	}
	w := httptest.NewRecorder()
	question := httptest.NewRequest(http.MethodGet, explain.Path+"?host=h&path=/a", nil)
	h := newExplainHandler(New(Settings{}, Deps{Log: n.log, Metrics: n.metrics}))
	h.ServeHTTP(w, question)
	is.New(t).True(strings.Contains(w.Body.String(), "not_ready")) // a start with nothing known
	h.limiter.SetBurst(0)
	w = httptest.NewRecorder()
	h.ServeHTTP(w, question)
	is.New(t).Equal(w.Code, http.StatusTooManyRequests) // questions do not hold up callers
}
