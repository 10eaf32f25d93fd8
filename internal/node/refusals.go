package node

import (
	"github.com/hickorybank/hickorybank/internal/api"
	"github.com/hickorybank/hickorybank/internal/config"
)

// unknownLabel is the label of an unknown organisation or class. Names from unauthenticated or
// invalid requests are not used as labels, or callers could create any number of time series.
const unknownLabel = "unknown"

// CountRefusal counts a request that was refused and not run, by organisation, class and reason.
func (n *Node) CountRefusal(r api.Refusal) {
	org := unknownLabel
	if r.Org != nil {
		org = r.Org.Name
	}
	n.metrics.Refused(org, refusedClass(r), r.Reason)
	if r.BeforeRouter {
		n.metrics.Failed(r.Code) // others are counted when they end
	}
}

// refusedClass returns the name of the class that the request would have run in.
func refusedClass(r api.Refusal) string {
	if r.Snapshot == nil {
		return unknownLabel
	}
	if class := declaredClass(r.Snapshot, r.Class, r.Model); class != nil {
		return class.Name
	}
	return unknownLabel
}

func declaredClass(s *config.Snapshot, class, model string) *config.Class {
	if class != "" {
		return s.Class(class)
	}
	names, _, fail := candidates(s, model)
	if fail != nil || len(names) == 0 {
		return nil
	}
	found, fail := classOf(s, api.ChatCall{Model: model}, names)
	if fail != nil {
		return nil
	}
	return found
}
