package rollout

import (
	"math"
	"time"

	"github.com/hickorybank/hickorybank/internal/config"
)

// plan is the target that a configuration sets for the engines.
type plan struct {
	revision uint64
	// ordersAllowed is set if the preset allows new orders.
	ordersAllowed bool
	versions      []versionTarget
	index         map[string]int
	// maxDeadline is the longest time that a request may take.
	maxDeadline time.Duration
}

// versionTarget is the configured state of one version.
type versionTarget struct {
	name  string
	model string
	state config.VersionState
	share float64
}

func newPlan(s *config.Snapshot) *plan {
	p := &plan{revision: s.Revision, ordersAllowed: s.Preset().AdvanceRollouts, index: map[string]int{}}
	for i := range s.Doc.Models {
		p.add(&s.Doc.Models[i])
	}
	for i := range s.Doc.Classes {
		p.maxDeadline = max(p.maxDeadline, time.Duration(s.Doc.Classes[i].DeadlineMillis)*time.Millisecond)
	}
	return p
}

func (p *plan) add(m *config.Model) {
	for i := range m.Versions {
		v := &m.Versions[i]
		p.index[v.Name] = len(p.versions)
		p.versions = append(p.versions, versionTarget{name: v.Name, model: m.Name, state: v.State, share: v.Share})
	}
}

// indexOf returns the version's index, or -1.
func (p *plan) indexOf(version string) int {
	if i, ok := p.index[version]; ok {
		return i
	}
	return -1
}

// indexes returns the indexes of the versions that are configured. Other versions on an
// engine are not managed by this package.
func (p *plan) indexes(versions []string) []int {
	list := make([]int, 0, len(versions))
	for _, v := range versions {
		if i := p.indexOf(v); i >= 0 {
			list = append(list, i)
		}
	}
	return list
}

// hasWithdrawn reports whether any version is withdrawn.
func (p *plan) hasWithdrawn() bool {
	for i := range p.versions {
		if p.versions[i].state == config.Withdrawn {
			return true
		}
	}
	return false
}

// demand is how many of the engines should have the version.
func (w *versionTarget) demand(engines int, s *Settings) int {
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
