package gateway

import (
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"github.com/hickorybank/hickorybank/internal/explain"
	"github.com/hickorybank/hickorybank/internal/fleet"
	"github.com/hickorybank/hickorybank/internal/route"
)

// Explain returns where a request would go now and why, by the code that decides on requests.
// Nothing is sent, counted or changed. The error is an [explain.Fault].
func (n *Node) Explain(r explain.Request) (explain.Report, error) {
	now := time.Now()
	report := explain.Report{Node: n.settings.ID, ConfigVersion: n.configVersion(), Request: r, Rank: -1, Candidates: []explain.Candidate{}, Excluded: []explain.Excluded{}}
	report.Ages = n.explainedAges(now)
	j := &job{node: n, start: now, config: n.config.Load(), headers: explainedHeaders(&r)}
	if j.config == nil || !n.knowsUpstreams() {
		report.Refusal = j.explainedRefusal(notReady)
		return report, nil
	}
	var org *route.Organisation
	if r.Organisation != "" {
		if org = j.config.OrganisationByName(r.Organisation); org == nil {
			return report, &explain.Fault{Field: "organisation", Value: r.Organisation, Accepted: "the name of an organisation with a key"}
		}
	}
	if j.route = j.config.Match(r.Host, r.Path); j.route == nil {
		report.Refusal = j.explainedRefusal(unknownRoute)
		return report, nil
	}
	report.Route, report.Kind = j.route.Name, j.route.Kind.String()
	j.priority = j.route.Priority
	if j.config.Keyed {
		if ref := j.authoriseAs(org); ref != nil {
			report.Refusal = j.explainedRefusal(ref)
			return report, nil
		}
	}
	j.identify(http.MethodGet, r.Path)
	report.Service, report.Priority, report.Regions = j.service, j.priority, j.regions()
	n.mu.Lock()
	defer n.mu.Unlock()
	n.fleet.Inspect(j.service, func() { j.explainPlacement(&report, now) })
	return report, nil
}

// explainedHeaders returns the headers of a described request. A request without a session gets
// a random ID, as its caller would give it.
func explainedHeaders(r *explain.Request) CallerHeaders {
	h := CallerHeaders{
		ID: strconv.FormatUint(rand.Uint64(), 16), Session: r.Session, Model: r.Model,
		TokensIn: r.TokensIn, TokensOut: r.TokensOut,
	}
	if r.Model == "" || r.Model == explain.AnyModel {
		h.AnyModel, h.Model = true, ""
	}
	for _, p := range r.Parts {
		h.PromptBlocks = append(h.PromptBlocks, PromptBlock{ID: p.ID, Tokens: p.Tokens})
	}
	return h
}

// explainPlacement explains the first attempt; the caller holds mu and inspects the fleet.
//
// The verdict of admission belongs before the placement, as in [job.run].
func (j *job) explainPlacement(report *explain.Report, now time.Time) {
	n := j.node
	if len(j.route.Models) > 0 && j.headers.AnyModel {
		j.model = n.cascadePolicy.First(j.initialCascadeStateAt(now))
		report.Model.Chosen, report.Model.Candidates = true, j.route.Models
	}
	report.Model.Name = j.requestedModel()
	rule := n.canary.Preview(j.service, j.caller(), now)
	p := n.place(j, rule, n.previewHeldVersion(j.service, now), now)
	report.Version = explain.Version{
		Only: rule.Version, AnyOther: p.spec.Version != rule.Version,
		Excluded: p.spec.ExcludedVersions, MaxUpstreams: p.spec.MaxUpstreams,
	}
	version := p.spec.Version
	if p.upstream != nil {
		version = p.upstream.Version
		report.Upstream = p.upstream.ID
		if j.route.Kind == route.Stream {
			report.Rank = n.fleet.Rank(p.upstream, &p.spec, j.priority, now)
		}
	} else {
		j.explainUnplaced(report, p.roomAt, now)
	}
	report.Load = n.fleet.ServiceLoad(j.service, version, now)
	if report.Model.Chosen {
		report.Model.Accept = n.cascadePolicy.Accept(j.cascadeStateAt(version, p.spec, now))
	}
	report.ExpectedWaitMs = milliseconds(n.fleet.ExpectedWait(&p.spec, now))
	report.FirstEventMs = milliseconds(n.fleet.TimeToFirstEvent(&p.spec, now))
	report.RetryBudgetLeft = n.retryBudgetLeft(j.service, now)
	explainCandidates(report, n.fleet.Explain(p.spec, now), now)
}

// explainUnplaced explains what happens to a request without an upstream.
func (j *job) explainUnplaced(report *explain.Report, roomAt, now time.Time) {
	j.roomAt = roomAt
	report.Refusal = j.explainedRefusal(j.unplacedRefusal(now))
	if until := j.waitsUntil(); !roomAt.After(until) {
		report.Refusal.WaitsMs = milliseconds(until.Sub(now))
	}
}

func (j *job) explainedRefusal(ref *refusal) *explain.Refusal {
	e := &explain.Refusal{Status: ref.status, Reason: ref.reason, Text: ref.text}
	if ref.retryAfter > 0 {
		e.RetryAfterMs = milliseconds(retryAfterOf(ref.retryAfter, j.priority, 0))
		e.RetryAfterMaxMs = milliseconds(retryAfterOf(ref.retryAfter, j.priority, 1))
	}
	return e
}

// explainCandidates adds how the fleet decides.
func explainCandidates(report *explain.Report, e fleet.Explanation, now time.Time) {
	report.ConfirmsLimit = e.Unconfirmed
	report.UnitMs = milliseconds(e.UnitTime)
	report.Ages.InFlightMs = milliseconds(e.InFlightAge)
	for i := range e.Candidates {
		c := &e.Candidates[i]
		units := explain.Terms{
			Queued: c.Estimate.Queued, Prefill: c.Estimate.Prefill, Reread: c.Estimate.Reread, Batch: c.Estimate.Batch,
			Remote: c.Estimate.Remote, RateBound: c.Estimate.RateBound, Tie: c.Estimate.Tie(), Total: c.Estimate.Total(),
		}
		out := explain.Candidate{
			Upstream: c.Upstream.ID, Domain: c.Upstream.Domain, Version: c.Upstream.Version, Affinity: c.Affinity, Units: units,
			Slowness: c.Estimate.Slowness, Failures: c.Estimate.Failures, InFlight: c.Upstream.InFlight(),
			LoadReportAgeMs: milliseconds(c.Ages.LoadReport), MachineAgeMs: milliseconds(c.Ages.Machine), SpeedWeight: c.Ages.SpeedWeight,
		}
		if e.UnitTime > 0 {
			ms := units.Scaled(milliseconds(e.UnitTime))
			out.Ms = &ms
		}
		report.Candidates = append(report.Candidates, out)
	}
	for _, x := range e.Excluded {
		out := explain.Excluded{Reason: x.Reason.String(), Count: x.Count}
		if !x.Until.IsZero() {
			out.FirstBackMs = milliseconds(x.Until.Sub(now))
		}
		report.Excluded = append(report.Excluded, out)
	}
}

// retryBudgetLeft returns how many further attempts a service's requests may make now; the
// caller holds mu.
func (n *Node) retryBudgetLeft(service string, now time.Time) float64 {
	b := n.budgets[service]
	if b == nil {
		return n.retrySlack()
	}
	current := *b
	current.SetSlack(n.retrySlack())
	return current.Left(now)
}

// explainedAges returns the ages of what the node knows.
func (n *Node) explainedAges(now time.Time) explain.Ages {
	n.mu.Lock()
	defer n.mu.Unlock()
	age := func(at time.Time) float64 {
		if at.IsZero() {
			return -1
		}
		return milliseconds(now.Sub(at))
	}
	return explain.Ages{TableMs: age(n.view.listAsOf), OrdersMs: age(n.view.ordersAsOf), InFlightMs: -1}
}

// milliseconds returns a duration in milliseconds; -1 if it is negative, which means unknown.
func milliseconds(d time.Duration) float64 {
	if d < 0 {
		return -1
	}
	return float64(d) / float64(time.Millisecond)
}
