package telemetry

import (
	"net/http"

	"github.com/VictoriaMetrics/metrics"

	"github.com/hickorybank/hickorybank/internal/request"
)

// Set holds the metrics of one node. It is safe for concurrent use.
type Set struct {
	set      *metrics.Set
	requests *family[requestLabels, *Request]
	versions *family[string, *outcomeCounters]
	codes    *family[request.Code, *metrics.Counter]
	refusals *family[refusalLabels, *metrics.Counter]
}

// New returns an empty set with bounds on its labels.
func New(b Bounds) *Set {
	b = b.withDefaults()
	s := &Set{set: metrics.NewSet()}
	s.requests = newFamily(b.Requests, func(l requestLabels) *Request { return newRequest(s, l) }, requestLabels.other)
	s.versions = newFamily(b.Versions, s.newVersion, func(string) string { return otherLabel })
	s.codes = newFamily(b.Codes, s.newCode, func(request.Code) request.Code { return otherLabel })
	s.refusals = newFamily(b.Refusals, s.newRefusal, refusalLabels.other)
	return s
}

func (s *Set) newVersion(version string) *outcomeCounters {
	c := newOutcomeCounters(s.set, "hickorybank_answers_total", []label{{"version", version}})
	return &c
}

func (s *Set) newCode(code request.Code) *metrics.Counter {
	return s.set.NewCounter(metricName("hickorybank_failures_total", label{"code", string(code)}))
}

// Request returns the metrics of an organisation's requests of a class.
func (s *Set) Request(organisation, class string) *Request {
	return s.requests.get(requestLabels{organisation: organisation, class: class})
}

// Failed counts a failure by its code. It includes calls that are rejected before
// they become a request, such as one without a key.
func (s *Set) Failed(code request.Code) { s.codes.get(code).Inc() }

// Answered counts an attempt at a model version by its outcome.
func (s *Set) Answered(version string, o request.Outcome) { s.versions.get(version).inc(o) }

// Gauge registers a value that is read at each scrape. Labels are pairs of name and
// value; the calling code bounds their cardinality.
func (s *Set) Gauge(name string, read func() float64, labels ...string) {
	s.set.GetOrCreateGauge(metricName(name, pairsOf(labels)...), read)
}

// Counter returns the counter with a name and labels, and creates it on first use.
// Labels are pairs of name and value; the calling code bounds their cardinality.
func (s *Set) Counter(name string, labels ...string) *metrics.Counter {
	return s.set.GetOrCreateCounter(metricName(name, pairsOf(labels)...))
}

// Histogram returns the histogram with a name and labels, and creates it on first use.
// Values are in seconds where the name ends in _seconds. Labels are pairs of name and
// value; the calling code bounds their cardinality.
func (s *Set) Histogram(name string, labels ...string) *metrics.Histogram {
	return s.set.GetOrCreateHistogram(metricName(name, pairsOf(labels)...))
}

func pairsOf(labels []string) []label {
	if len(labels)%2 != 0 {
		panic("telemetry: labels must be pairs of name and value")
	}
	pairs := make([]label, 0, len(labels)/2)
	for i := 0; i < len(labels); i += 2 {
		pairs = append(pairs, label{labels[i], labels[i+1]})
	}
	return pairs
}

// Handler serves /metrics: this set and the metrics of the process.
func (s *Set) Handler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/plain; charset=utf-8")
		s.set.WritePrometheus(w)
		metrics.WriteProcessMetrics(w)
	})
}
