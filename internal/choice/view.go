package choice

import (
	"time"

	"github.com/hickorybank/hickorybank/internal/choice/detect"
	"github.com/hickorybank/hickorybank/internal/choice/frontier"
	"github.com/hickorybank/hickorybank/internal/choice/quality"
	"github.com/hickorybank/hickorybank/internal/config"
)

const (
	// mostVersions is how many versions of a configuration can be in a plan.
	mostVersions = 64
	// mostFrontiers bounds the memory for plans: one for each class and set
	// of versions that organisations may use.
	mostFrontiers = 512
	// enoughRatings is how many ratings a version needs to be explored no more.
	enoughRatings = 400
)

// view is what follows from one configuration and the estimates of one moment.
type view struct {
	snapshot *config.Snapshot
	made     time.Time
	versions []versionView
	index    map[string]int
	known    map[quality.Key]*known
	plans    map[planKey]*frontier.Frontier
	// tokens are those of all versions together, by class.
	tokens map[string]quality.Cell
	// alone holds a list of its own for each version, to be shared by plans.
	alone map[string][]string
	// options is working memory.
	options []frontier.Option
}

// versionView joins a version's configuration with its state.
type versionView struct {
	config *config.Version
	state  *state
}

// planKey names the frontier of a set of versions for a class.
type planKey struct {
	class    string
	versions uint64
	cascades bool
}

// known is what is known of one version for one class.
type known struct {
	option frontier.Option
	// took is how long an answer takes at most, nearly always; 0 is unknown.
	took    time.Duration
	pairs   float64
	rescues float64
	// cell is what the estimate was made of; tested says that the version
	// is to be tested against it.
	cell   quality.Cell
	tested bool
	// table and rescueTable are made when the first rating needs them.
	table       *detect.Table
	rescueTable *detect.Table
}

// refresh makes the view anew when the configuration changed or the estimates
// are old.
func (c *Chooser) refresh(s *config.Snapshot, now time.Time) {
	if c.view == nil || c.view.snapshot != s {
		c.view = c.newView(s)
	} else if now.Sub(c.view.made) < refreshGap {
		return
	}
	c.view.made = now
	clear(c.view.known)
	clear(c.view.plans)
	clear(c.view.tokens)
}

func (c *Chooser) newView(s *config.Snapshot) *view {
	v := &view{
		snapshot: s,
		index:    make(map[string]int),
		known:    make(map[quality.Key]*known),
		plans:    make(map[planKey]*frontier.Frontier),
		tokens:   make(map[string]quality.Cell),
		alone:    make(map[string][]string),
	}
	for i := range s.Doc.Models {
		for j := range s.Doc.Models[i].Versions {
			version := &s.Doc.Models[i].Versions[j]
			v.index[version.Name] = len(v.versions)
			v.alone[version.Name] = []string{version.Name}
			v.versions = append(v.versions, versionView{config: version, state: c.state(version.Name)})
		}
	}
	return v
}

// frontier returns the frontier of a set of versions for a class.
func (c *Chooser) frontier(key planKey, now time.Time) *frontier.Frontier {
	if f, ok := c.view.plans[key]; ok {
		return f
	}
	if len(c.view.plans) >= mostFrontiers {
		clear(c.view.plans)
	}
	v := c.view
	v.options = v.options[:0]
	for i := range min(len(v.versions), mostVersions) {
		if key.versions&(1<<i) != 0 {
			k := c.known(v.versions[i].config, key.class, now)
			v.options = append(v.options, k.option)
		}
	}
	f := c.builder.Build(v.options, key.cascades)
	v.plans[key] = f
	return f
}
