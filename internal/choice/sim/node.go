package sim

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/hickorybank/hickorybank/internal/choice"
	"github.com/hickorybank/hickorybank/internal/config"
)

// exchangeInterval is the time between two exchanges of summaries by one node.
const exchangeInterval = time.Second

// node is one entry node: its policy and the exchange with other nodes.
type node struct {
	run    *run
	index  int
	policy choice.Policy
	// chooser is the policy under test if it learns; nil for the baselines.
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

// collector returns the index of the node that collects a version's summaries.
func (r *run) collector(version string) int {
	return int(xxhash.Sum64String(version) % uint64(r.cfg.Nodes))
}

// versionsCollectedBy returns the versions whose summaries the other node collects.
func (n *node) versionsCollectedBy(other *node) []string {
	var list []string
	for _, version := range n.versions {
		if n.run.collector(version) == other.index {
			list = append(list, version)
		}
	}
	return list
}

func (n *node) observeAnswer(a choice.Answer) {
	if n.chooser != nil {
		n.chooser.ObserveAnswer(a)
	}
}

func (n *node) observeRating(o choice.Observation) {
	if n.chooser != nil {
		n.chooser.Observe(o)
		n.broadcastHolds()
	}
}

func (n *node) observeRatingFailure(now time.Time) {
	if n.chooser != nil {
		n.chooser.ObserveRatingFailure(now)
	}
}

// broadcastHolds applies the node's new holds on all nodes at once. A real deployment
// needs milliseconds for it.
func (n *node) broadcastHolds() {
	holds := n.chooser.NewHolds()
	n.run.recordHolds(holds)
	for _, h := range holds {
		for _, other := range n.run.nodes {
			other.chooser.ApplyHold(h)
		}
	}
}

// exchangeSummaries sends summaries to the collecting nodes, applies the pools they
// return, and requests the grants that the chooser needs. It reschedules itself until
// the arrivals end.
func (n *node) exchangeSummaries() {
	now := n.run.time()
	for _, other := range n.run.nodes {
		versions := n.versionsCollectedBy(other)
		if other == n || len(versions) == 0 {
			continue
		}
		pool := other.chooser.HandleReport(n.chooser.Report(versions), now)
		other.broadcastHolds()
		n.chooser.ApplyPool(pool)
	}
	for _, version := range n.chooser.GrantsNeeded(now) {
		n.chooser.ApplyGrant(version, n.run.grant(version), now)
	}
	if n.run.now < n.run.cfg.Duration {
		n.run.after(exchangeInterval, n.exchangeSummaries)
	}
}

func (n *node) capLifted(version string) bool { return n.run.table.capLifted(version) }

// bestCost returns the price of a request on the serving version with the highest prior
// quality, which is the one that operators take for the best.
func (r *run) bestCost(class *config.Class) float64 {
	var best *config.Version
	for _, v := range r.oracle.versions(class, config.Serving) {
		if best == nil || v.PriorQuality > best.PriorQuality {
			best = v
		}
	}
	return price(best, class.Name)
}
