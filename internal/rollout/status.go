package rollout

import (
	"fmt"
	"time"
)

// Status is how far one version's roll-out or withdrawal is.
type Status struct {
	Version string
	Stage   Stage
	// Share in [0,1] is the part of its model's requests that the version may
	// take.
	Share float64
	// Holder is the id of the node that drives; empty when none does.
	Holder string
	// Since is when the version came to this stage, by the holder's clock.
	Since  time.Time
	Detail string
}

// Stage is how far the engines are from what is wanted of a version.
type Stage string

// The stages.
const (
	// Loading: fewer engines have the version than are wanted.
	Loading Stage = "loading"
	// Settled: as many engines have the version as are wanted.
	Settled Stage = "settled"
	// Draining: withdrawn, and some engine still has the version.
	Draining Stage = "draining"
	// Gone: withdrawn, and no engine that could be read has the version.
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
