package rollout

import (
	"fmt"
	"time"
)

// Status is the state of one version's rollout or withdrawal, for operators.
type Status struct {
	Version string
	Stage   Stage
	// Share in [0,1] is the part of its model's requests that the version may get.
	Share float64
	// Holder is the ID of the node that drives; empty if none does.
	Holder string
	// Since is when the version reached this stage, by the holder's clock.
	Since  time.Time
	Detail string
}

// Stage says how far the engines are from the target of a version.
type Stage string

// Stages of a version.
const (
	// Loading means that fewer engines have the version than should.
	Loading Stage = "loading"
	// Settled means that as many engines have the version as should.
	Settled Stage = "settled"
	// Draining means that the version is withdrawn and some engine still has it.
	Draining Stage = "draining"
	// Gone means that the version is withdrawn and no engine that could be read has it.
	Gone Stage = "gone"
)

func (r *Record) statuses() []Status {
	list := make([]Status, 0, len(r.Versions))
	for i := range r.Versions {
		list = append(list, r.status(&r.Versions[i]))
	}
	return list
}

func (r *Record) status(p *Progress) Status {
	s := Status{Version: p.Version, Stage: p.Stage, Share: p.Share, Holder: r.Holder, Since: p.Since}
	s.Detail = fmt.Sprintf("on %d engines, wanted on %d", p.Seen, p.Wanted)
	for i := range r.Orders {
		if o := &r.Orders[i]; o.Version == p.Version {
			s.Detail += fmt.Sprintf("; %s at %s", o.Action, o.Engine)
		}
	}
	return s
}
