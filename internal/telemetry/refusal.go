package telemetry

import (
	"github.com/VictoriaMetrics/metrics"

	"github.com/hickorybank/hickorybank/internal/request"
)

// refusalLabels are the labels of a refused request.
type refusalLabels struct {
	organisation, class string
	reason              request.Reason
}

func (l refusalLabels) other() refusalLabels {
	return refusalLabels{organisation: other, class: other, reason: l.reason}
}

func (s *Set) newRefusal(l refusalLabels) *metrics.Counter {
	return s.set.NewCounter(metricName("hickorybank_refusals_total",
		label{"organisation", l.organisation}, label{"class", l.class}, label{"reason", string(l.reason)}))
}

// Refused counts a request that was refused and not run. The reason is one of
// a fixed set; the caller bounds the names to those of the configuration.
func (s *Set) Refused(organisation, class string, reason request.Reason) {
	s.refusals.get(refusalLabels{organisation: organisation, class: class, reason: reason}).Inc()
}
