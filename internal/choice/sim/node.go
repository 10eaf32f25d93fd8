package sim

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/hickorybank/hickorybank/internal/choice"
	"github.com/hickorybank/hickorybank/internal/config"
)

// exchangeGap is how often a node sends its summary and gets the pool.
const exchangeGap = time.Second

// node is one entry node: its policy, and what the shell around it does.
type node struct {
	run    *run
	index  int
	policy choice.Policy
	// chooser is the policy when it learns; nil for the baselines.
	chooser  *choice.Chooser
	versions []string
}

func newNode(r *run, index int) *node {
	n := &node{run: r, index: index}
	if r.cfg.Policy != nil {
		n.policy = r.cfg.Policy()
		return n
	}
	settings := r.cfg.Settings
	settings.Node = string(rune('a'+index%26)) + string(rune('a'+index/26))
	settings.Epoch = 1
	n.chooser = choice.New(settings)
	n.policy = n.chooser
	for _, m := range r.snapshot.Doc.Models {
		for _, v := range m.Versions {
			n.versions = append(n.versions, v.Name)
			if r.collector(v.Name) == index {
				n.chooser.Collect(v.Name)
			}
		}
	}
	return n
}

// collector is the index of the node that collects a version's summaries.
func (r *run) collector(version string) int {
	return int(xxhash.Sum64String(version) % uint64(r.cfg.Nodes))
}

// collectedBy returns the versions whose summaries another node collects.
func (n *node) collectedBy(other *node) []string {
	var list []string
	for _, version := range n.versions {
		if n.run.collector(version) == other.index {
			list = append(list, version)
		}
	}
	return list
}

func (n *node) answered(a choice.Answer) {
	if n.chooser != nil {
		n.chooser.ObserveAnswer(a)
	}
}

func (n *node) observe(o choice.Observation) {
	if n.chooser != nil {
		n.chooser.Observe(o)
		n.spread()
	}
}

func (n *node) ratingFailed(now time.Time) {
	if n.chooser != nil {
		n.chooser.ObserveRatingFailure(now)
	}
}

// spread tells all nodes of new holds at once; a real one takes milliseconds.
func (n *node) spread() {
	holds := n.chooser.NewHolds()
	n.run.held(holds)
	for _, h := range holds {
		for _, other := range n.run.nodes {
			other.chooser.ApplyHold(h)
		}
	}
}

// exchange sends the summaries to the collecting nodes, takes their pools, and
// asks for grants.
func (n *node) exchange() {
	now := n.run.time()
	for _, other := range n.run.nodes {
		versions := n.collectedBy(other)
		if other == n || len(versions) == 0 {
			continue
		}
		pool := other.chooser.HandleReport(n.chooser.Report(versions), now)
		other.spread()
		n.chooser.ApplyPool(pool)
	}
	for _, version := range n.chooser.GrantsNeeded(now) {
		n.chooser.ApplyGrant(version, n.run.grant(version), now)
	}
	if n.run.now < n.run.cfg.Duration {
		n.run.after(exchangeGap, n.exchange)
	}
}

func (n *node) open(version string) bool { return n.run.table.open(version) }

// bestCost is what the version that the operators believe the best would cost.
func (r *run) bestCost(class *config.Class) float64 {
	var best *config.Version
	for _, v := range r.oracle.versions(class, config.Serving) {
		if best == nil || v.PriorQuality > best.PriorQuality {
			best = v
		}
	}
	return price(best, class.Name)
}
