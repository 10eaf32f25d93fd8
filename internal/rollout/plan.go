package rollout

import (
	"math"
	"time"

	"github.com/hickorybank/hickorybank/internal/config"
)

// plan is what a configuration wants of the engines.
type plan struct {
	revision uint64
	// move says that new orders may be decided.
	move     bool
	versions []wanted
	index    map[string]int
	// longest is the longest time that a request may take.
	longest time.Duration
}

// wanted is what is wanted of one version.
type wanted struct {
	name  string
	model string
	state config.VersionState
	share float64
}

func newPlan(s *config.Snapshot) *plan {
	p := &plan{revision: s.Revision, move: s.Preset().RolloutsMove, index: map[string]int{}}
	for i := range s.Doc.Models {
		p.add(&s.Doc.Models[i])
	}
	for i := range s.Doc.Classes {
		p.longest = max(p.longest, time.Duration(s.Doc.Classes[i].DeadlineMillis)*time.Millisecond)
	}
	return p
}

func (p *plan) add(m *config.Model) {
	for i := range m.Versions {
		v := &m.Versions[i]
		p.index[v.Name] = len(p.versions)
		p.versions = append(p.versions, wanted{name: v.Name, model: m.Name, state: v.State, share: v.Share})
	}
}

// find returns the version's index, or -1.
func (p *plan) find(version string) int {
	if i, ok := p.index[version]; ok {
		return i
	}
	return -1
}

// indexes returns the versions' indexes without those that are not configured:
// what else runs on an engine is not this package's to move.
func (p *plan) indexes(versions []string) []int {
	list := make([]int, 0, len(versions))
	for _, v := range versions {
		if i := p.find(v); i >= 0 {
			list = append(list, i)
		}
	}
	return list
}

// withdrawsAny says whether any version is withdrawn.
func (p *plan) withdrawsAny() bool {
	for i := range p.versions {
		if p.versions[i].state == config.Withdrawn {
			return true
		}
	}
	return false
}

// demand is how many of the engines should have the version.
func (w *wanted) demand(engines int, s *Settings) int {
	part := s.ServingPart
	switch {
	case w.state == config.Withdrawn:
		return 0
	case w.state == config.Staged && w.share == 0:
		return 0
	case w.state == config.Staged:
		part *= w.share
	}
	n := int(math.Ceil(part * float64(engines)))
	return min(engines, max(n, s.MinEngines))
}
