package node

import (
	"github.com/hickorybank/hickorybank/internal/api"
	"github.com/hickorybank/hickorybank/internal/config"
)

// noName is the label of an organisation or class that is not known: what a
// caller merely claims is no label, or callers could make any number of them.
const noName = "unknown"

// Refused counts a request that was refused and not run.
func (n *Node) Refused(r api.Refusal) {
	org := noName
	if r.Org != nil {
		org = r.Org.Name
	}
	n.metrics.Refused(org, refusedClass(r), r.Reason)
	if r.AtDoor {
		n.metrics.Failed(r.Code) // any other was counted when it ended
	}
}

// refusedClass is the class that the request would have run in.
func refusedClass(r api.Refusal) string {
	if r.Snapshot == nil {
		return noName
	}
	if class := declaredClass(r.Snapshot, r.Class, r.Model); class != nil {
		return class.Name
	}
	return noName
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
