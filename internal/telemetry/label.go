package telemetry

import (
	"strconv"
	"strings"
)

// label is the name and value of one metric label.
type label struct {
	name, value string
}

// metricName returns a metric's name with its labels in the Prometheus exposition format.
func metricName(name string, labels ...label) string {
	if len(labels) == 0 {
		return name
	}
	var b strings.Builder
	b.WriteString(name)
	for i, l := range labels {
		if i == 0 {
			b.WriteByte('{')
		} else {
			b.WriteByte(',')
		}
		b.WriteString(l.name)
		b.WriteByte('=')
		b.WriteString(strconv.Quote(l.value))
	}
	b.WriteByte('}')
	return b.String()
}
