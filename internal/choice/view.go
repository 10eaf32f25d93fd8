package choice

import (
	"time"

	"github.com/hickorybank/hickorybank/internal/choice/detect"
	"github.com/hickorybank/hickorybank/internal/choice/frontier"
	"github.com/hickorybank/hickorybank/internal/choice/quality"
	"github.com/hickorybank/hickorybank/internal/config"
)

const (
	// maxPlannedVersions is the number of versions of a configuration that plans can use.
	maxPlannedVersions = 64
	// maxFrontiers bounds the cached frontiers, one for each class and set of versions.
	maxFrontiers = 512
	// exploredRatings is the number of ratings from which a version is no longer
	// explored.
	exploredRatings = 400
)

// view is derived from one configuration and the estimates at one time.
type view struct {
	snapshot  *config.Snapshot
	refreshed time.Time
	versions  []versionView
	index     map[string]int
	estimates map[quality.Key]*versionEstimate
	frontiers map[frontierKey]*frontier.Frontier
	// tokens are the sums over all versions, by class.
	tokens map[string]quality.Cell
	// single holds a one-element list for each version, which plans share.
	single map[string][]string
	// options is a reused buffer.
	options []frontier.Option
}

// versionView combines a version's configuration with its state.
type versionView struct {
	config *config.Version
	state  *versionState
}

// frontierKey identifies the frontier of a set of versions for a class.
type frontierKey struct {
	class    string
	versions uint64
	cascades bool
}

// versionEstimate is the estimate of one version for one class, with the test tables
// derived from it.
type versionEstimate struct {
	option frontier.Option
	// duration is an upper bound on the duration of nearly all answers; 0 if unknown.
	duration  time.Duration
	pairs     float64
	fallbacks float64
	// cell is the cell behind the estimate; hasReference is set when the version is
	// tested against it.
	cell         quality.Cell
	hasReference bool
	// table and fallbackTable are created when the first rating needs them.
	table         *detect.Table
	fallbackTable *detect.Table
}

// refresh recomputes the view when the configuration has changed or the estimates are
// older than refreshInterval.
func (c *Chooser) refresh(s *config.Snapshot, now time.Time) {
	if c.view == nil || c.view.snapshot != s {
		c.view = c.newView(s)
	} else if now.Sub(c.view.refreshed) < refreshInterval {
		return
	}
	c.view.refreshed = now
	clear(c.view.estimates)
	clear(c.view.frontiers)
	clear(c.view.tokens)
}

func (c *Chooser) newView(s *config.Snapshot) *view {
	v := &view{
		snapshot:  s,
		index:     make(map[string]int),
		estimates: make(map[quality.Key]*versionEstimate),
		frontiers: make(map[frontierKey]*frontier.Frontier),
		tokens:    make(map[string]quality.Cell),
		single:    make(map[string][]string),
	}
	for i := range s.Doc.Models {
		for j := range s.Doc.Models[i].Versions {
			version := &s.Doc.Models[i].Versions[j]
			v.index[version.Name] = len(v.versions)
			v.single[version.Name] = []string{version.Name}
			v.versions = append(v.versions, versionView{config: version, state: c.state(version.Name)})
		}
	}
	return v
}

// frontier returns the frontier of a set of versions for a class, cached in the view.
func (c *Chooser) frontier(key frontierKey, now time.Time) *frontier.Frontier {
	if f, ok := c.view.frontiers[key]; ok {
		return f
	}
	if len(c.view.frontiers) >= maxFrontiers {
		clear(c.view.frontiers)
	}
	v := c.view
	v.options = v.options[:0]
	for i := range min(len(v.versions), maxPlannedVersions) {
		if key.versions&(1<<i) != 0 {
			k := c.estimate(v.versions[i].config, key.class, now)
			v.options = append(v.options, k.option)
		}
	}
	f := c.builder.Build(v.options, key.cascades)
	v.frontiers[key] = f
	return f
}
