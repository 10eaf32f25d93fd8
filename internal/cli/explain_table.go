package cli

import (
	"fmt"
	"io"
	"strconv"
	"strings"

	"github.com/hickorybank/hickorybank/internal/explain"
)

// printExplanation prints a report for people: what is decided, the compared candidates with
// each term of their cost, and what excluded the other upstreams.
func printExplanation(w io.Writer, r *explain.Report) error {
	if err := summaryOf(r).write(w); err != nil {
		return err
	}
	if len(r.Candidates) > 0 {
		fmt.Fprintf(w, "\ncost in %s:\n", costUnit(r))
		if err := candidateTable(r).write(w); err != nil {
			return err
		}
	}
	if len(r.Excluded) == 0 {
		return nil
	}
	fmt.Fprintln(w, "\nnot compared:")
	t := newTable("REASON", "UPSTREAMS", "FIRST BACK IN")
	for _, x := range r.Excluded {
		t.add(x.Reason, x.Count, known(x.FirstBackMs))
	}
	return t.write(w)
}

func summaryOf(r *explain.Report) *table {
	t := newTable("NODE", fmt.Sprintf("%s, configuration %d", r.Node, r.ConfigVersion))
	if r.Route != "" {
		t.add("route", fmt.Sprintf("%s (%s), priority %d", r.Route, r.Kind, r.Priority))
	}
	if r.Refusal != nil {
		t.add("refused", refusalText(r.Refusal))
	}
	if r.Service == "" {
		return t
	}
	t.add("service", fmt.Sprintf("%s, load %.0f %%", r.Service, 100*r.Load))
	t.add("model", modelText(&r.Model))
	t.add("version", versionText(&r.Version))
	if len(r.Regions) > 0 {
		t.add("regions", r.Regions)
	}
	upstream := r.Upstream
	if r.ConfirmsLimit {
		upstream += " (to confirm its rate limit)"
	}
	t.add("upstream", upstream)
	if r.Rank >= 0 {
		t.add("rank", r.Rank)
	}
	t.add("expected wait", known(r.ExpectedWaitMs))
	t.add("first event", known(r.FirstEventMs))
	t.add("retries left", fmt.Sprintf("%.1f", r.RetryBudgetLeft))
	t.add("ages", fmt.Sprintf("table %s, orders %s, in-flight counts %s", age(r.Ages.TableMs), age(r.Ages.OrdersMs), age(r.Ages.InFlightMs)))
	return t
}

func refusalText(r *explain.Refusal) string {
	text := fmt.Sprintf("%d %s: %s", r.Status, r.Reason, r.Text)
	if r.RetryAfterMs > 0 {
		text += fmt.Sprintf("; Retry-After %s to %s", age(r.RetryAfterMs), age(r.RetryAfterMaxMs))
	}
	if r.WaitsMs > 0 {
		text += "; waits up to " + age(r.WaitsMs) + " before"
	}
	return text
}

func modelText(m *explain.Model) string {
	if !m.Chosen {
		return m.Name
	}
	return fmt.Sprintf("%s first, of %s; a smaller model's answer needs confidence %d", m.Name, strings.Join(m.Candidates, ", "), m.Accept)
}

func versionText(v *explain.Version) string {
	text := "any"
	if v.Only != "" {
		text = "only " + v.Only
	}
	if v.AnyOther {
		text += ", of which none takes it: any other"
	}
	if len(v.Excluded) > 0 {
		text += ", not " + strings.Join(v.Excluded, ", ")
	}
	if v.MaxUpstreams > 0 {
		text += fmt.Sprintf(", at most %d upstreams", v.MaxUpstreams)
	}
	return text
}

func costUnit(r *explain.Report) string {
	if r.UnitMs > 0 {
		return fmt.Sprintf("ms (%.3g ms a unit of work)", r.UnitMs)
	}
	return "units of work (their time is not known yet)"
}

func candidateTable(r *explain.Report) *table {
	t := newTable("UPSTREAM", "DOMAIN", "VERSION", "QUEUED", "PREFILL", "REREAD", "BATCH", "SLOWNESS", "FAILURES", "REMOTE", "RATE", "TIE", "TOTAL", "IN FLIGHT", "LOAD REPORT", "SPEED")
	for i := range r.Candidates {
		c := &r.Candidates[i]
		terms := c.Units
		if c.Ms != nil {
			terms = *c.Ms
		}
		name := c.Upstream
		if c.Affinity {
			name += " (affinity)"
		}
		t.add(name, c.Domain, c.Version, figure(terms.Queued), figure(terms.Prefill), figure(terms.Reread), figure(terms.Batch),
			fmt.Sprintf("x %.2f", c.Slowness), fmt.Sprintf("+ %.0f %%", 100*c.Failures), figure(terms.Remote), figure(terms.RateBound), figure(terms.Tie),
			figure(terms.Total), c.InFlight, age(c.LoadReportAgeMs), fmt.Sprintf("%.1f streams", c.SpeedWeight))
	}
	return t
}

// figure formats a cost with about three digits.
func figure(v float64) string {
	if v >= 100 {
		return strconv.FormatFloat(v, 'f', 0, 64)
	}
	return strconv.FormatFloat(v, 'g', 3, 64)
}

// known formats milliseconds of which 0 means unknown.
func known(ms float64) string {
	if ms <= 0 {
		return ""
	}
	return figure(ms) + " ms"
}

// age formats milliseconds of which a negative number means unknown.
func age(ms float64) string {
	if ms < 0 {
		return "unknown"
	}
	return figure(ms) + " ms"
}
