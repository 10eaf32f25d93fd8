package telemetry

import (
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/hickorybank/hickorybank/internal/request"
)

// Request holds the metrics of one organisation's requests of one class.
type Request struct {
	set      *Set
	outcomes outcomeCounters

	queued     *metrics.Histogram
	firstToken *metrics.Histogram
	tokenGap   *metrics.Histogram
	total      *metrics.Histogram

	cost   *metrics.Counter
	input  *metrics.Counter
	output *metrics.Counter
	cached *metrics.Counter
}

// requestLabels are the label values of a Request.
type requestLabels struct {
	organisation, class string
}

func (l requestLabels) other() requestLabels {
	return requestLabels{organisation: otherLabel, class: l.class}
}

func (l requestLabels) pairs() []label {
	return []label{{"organisation", l.organisation}, {"class", l.class}}
}

func newRequest(s *Set, l requestLabels) *Request {
	histogram := func(name string) *metrics.Histogram { return s.set.NewHistogram(metricName(name, l.pairs()...)) }
	counter := func(name string, more ...label) *metrics.Counter {
		return s.set.NewCounter(metricName(name, append(l.pairs(), more...)...))
	}
	return &Request{
		set:        s,
		outcomes:   newOutcomeCounters(s.set, "hickorybank_requests_total", l.pairs()),
		queued:     histogram("hickorybank_queue_seconds"),
		firstToken: histogram("hickorybank_first_token_seconds"),
		tokenGap:   histogram("hickorybank_token_gap_seconds"),
		total:      histogram("hickorybank_request_seconds"),
		cost:       counter("hickorybank_cost_micros_total"),
		input:      counter("hickorybank_tokens_total", label{"kind", "input"}),
		output:     counter("hickorybank_tokens_total", label{"kind", "output"}),
		cached:     counter("hickorybank_tokens_total", label{"kind", "cached"}),
	}
}

// Observe records one finished request, and counts its failure code and version.
func (r *Request) Observe(o *Observation) {
	r.outcomes.inc(o.Outcome)
	observe(r.queued, o.Queued)
	observe(r.firstToken, o.FirstToken)
	observe(r.tokenGap, o.TokenGap)
	observe(r.total, o.Total)
	r.cost.AddInt64(o.Cost)
	r.input.Add(o.InputTokens)
	r.output.Add(o.OutputTokens)
	r.cached.Add(o.CachedTokens)
	if o.Code != "" {
		r.set.Failed(o.Code)
	}
	if o.Version != "" {
		r.set.Answered(o.Version, o.Outcome)
	}
}

func observe(h *metrics.Histogram, d time.Duration) {
	if d > 0 {
		h.Update(d.Seconds())
	}
}

// outcomeCounters holds a counter for each outcome of a request.
type outcomeCounters struct {
	completed *metrics.Counter
	notRun    *metrics.Counter
	unknown   *metrics.Counter
}

func newOutcomeCounters(set *metrics.Set, name string, labels []label) outcomeCounters {
	counter := func(o request.Outcome) *metrics.Counter {
		withOutcome := append(append([]label(nil), labels...), label{"outcome", string(o)})
		return set.NewCounter(metricName(name, withOutcome...))
	}
	return outcomeCounters{completed: counter(request.Completed), notRun: counter(request.NotRun), unknown: counter(request.Unknown)}
}

func (c *outcomeCounters) inc(o request.Outcome) {
	switch o {
	case request.Completed:
		c.completed.Inc()
	case request.NotRun:
		c.notRun.Inc()
	default:
		c.unknown.Inc()
	}
}
