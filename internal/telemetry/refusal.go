package telemetry

import (
	"github.com/VictoriaMetrics/metrics"

	"github.com/hickorybank/hickorybank/internal/request"
)

// refusalLabels are the label values of the refusal counter.
type refusalLabels struct {
	organisation, class string
	reason              request.Reason
}

func (l refusalLabels) other() refusalLabels {
	return refusalLabels{organisation: otherLabel, class: otherLabel, reason: l.reason}
}

func (s *Set) newRefusal(l refusalLabels) *metrics.Counter {
	return s.set.NewCounter(metricName("hickorybank_refusals_total",
		label{"organisation", l.organisation}, label{"class", l.class}, label{"reason", string(l.reason)}))
}

// Refused counts a request that was refused and not run. The reason is one of a
// fixed set; the calling code passes only names that the configuration contains.
func (s *Set) Refused(organisation, class string, reason request.Reason) {
	s.refusals.get(refusalLabels{organisation: organisation, class: class, reason: reason}).Inc()
}
