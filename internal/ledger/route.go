package ledger

import (
	"log/slog"
	"maps"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hickorybank/hickorybank/internal/event"
	"github.com/hickorybank/hickorybank/internal/ledger/key"
	"github.com/hickorybank/hickorybank/internal/ledger/rank"
	"github.com/hickorybank/hickorybank/internal/platform"
)

const (
	// maxCandidates is how many nodes are called before a node does the work itself.
	maxCandidates = 2
	// suspectTime is how long a peer that did not answer is skipped.
	suspectTime = 5 * time.Second
	// epoch is how long one node collects the bills of its failure domain. The duty
	// rotates, so its cost is spread over the domain's nodes. So are the bills that wait
	// in memory while the platform is down.
	epoch = 5 * time.Second
)

// router selects nodes for duties by rendezvous hashing over the members that this node
// sees. Nodes with other member lists may select other nodes.
type router struct {
	self    platform.VM
	members func() []platform.VM
	log     *slog.Logger
	view    atomic.Pointer[view]

	mu       sync.Mutex
	suspects map[string]time.Time // end of the suspicion, by VM id
}

func newRouter(d Deps) *router {
	return &router{self: d.Self, members: d.Members, log: d.Log, suspects: map[string]time.Time{}}
}

// batchers returns the nodes that should append entries to a log, in order of preference.
// They may be in any failure domain; this node is the last one.
func (r *router) batchers(now time.Time, name key.Log) []platform.VM {
	return r.withSelf(r.selectNodes(now, name.Prefix(), r.currentView(now).all, maxCandidates))
}

// collectors returns the nodes that should collect this node's bills, in order of
// preference. They are in its failure domain; this node is the last one. With others first, it
// is so also where it is preferred itself.
func (r *router) collectors(now time.Time, othersFirst bool) []platform.VM {
	if othersFirst {
		return append(r.otherCollectors(now), r.self)
	}
	return r.withSelf(r.selectNodes(now, collectDuty(now, r.self), r.currentView(now).sameDomain, maxCandidates))
}

// otherCollectors returns the nodes of this node's failure domain that can collect bills in
// its place, in order of preference.
func (r *router) otherCollectors(now time.Time) []platform.VM {
	others := r.selectNodes(now, collectDuty(now, r.self), r.currentView(now).sameDomain, maxCandidates+1)
	others = slices.DeleteFunc(others, func(vm platform.VM) bool { return vm.ID == r.self.ID })
	return others[:min(len(others), maxCandidates)]
}

// collectDuty names the duty to collect the bills of a VM's failure domain.
func collectDuty(now time.Time, vm platform.VM) string {
	return "collect/" + vm.FailureDomain + "/" + strconv.FormatInt(now.UnixNano()/int64(epoch), 10)
}

// holders returns the nodes that should hold copies of a writer's rows, in order of
// preference. There are more than needed, as some may have no room or not answer.
func (r *router) holders(now time.Time, writer string) []platform.VM {
	return r.selectNodes(now, "hold/"+writer, r.currentView(now).otherDomains, 3*holdCopies)
}

// isJanitor reports whether this node is the janitor in a period.
func (r *router) isJanitor(now time.Time, period int64) bool {
	duty := "janitor/" + strconv.FormatInt(period, 10)
	return r.selectNodes(now, duty, r.currentView(now).all, 1)[0].ID == r.self.ID
}

// domainCount returns the number of failure domains of the members.
func (r *router) domainCount() int { return r.currentView(time.Now()).domainCount }

// currentView returns a view of the members that is at most maxViewAge old. Grouping all
// members for each message would use most of the processor time in a large fleet.
func (r *router) currentView(now time.Time) *view {
	v := r.view.Load()
	if v == nil || now.Sub(v.createdAt) > maxViewAge {
		v = newView(now, r.self, r.members())
		r.view.Store(v)
	}
	return v
}

// selectNodes returns the first n nodes of a group for a duty, without suspects.
func (r *router) selectNodes(now time.Time, duty string, group []platform.VM, n int) []platform.VM {
	r.mu.Lock()
	defer r.mu.Unlock()
	maps.DeleteFunc(r.suspects, func(_ string, until time.Time) bool { return !now.Before(until) })
	ranked := rank.First(duty, group, n+len(r.suspects))
	usable := ranked[:0]
	for _, vm := range ranked {
		if _, ok := r.suspects[vm.ID]; !ok && len(usable) < n {
			usable = append(usable, vm)
		}
	}
	return usable
}

func (r *router) find(id string) (platform.VM, bool) {
	if id == r.self.ID {
		return r.self, true
	}
	for _, vm := range r.members() {
		if vm.ID == id {
			return vm, true
		}
	}
	return platform.VM{}, false
}

// withSelf truncates the order after this node, or appends it: this node needs no other
// to do the work.
func (r *router) withSelf(order []platform.VM) []platform.VM {
	for i := range order {
		if order[i].ID == r.self.ID {
			return order[:i+1]
		}
	}
	return append(order, r.self)
}

// markSuspect records that a peer did not answer in time. Otherwise each call for which
// a frozen peer is the first choice would wait for it.
func (r *router) markSuspect(vm platform.VM) {
	if vm.ID == r.self.ID {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if _, ok := r.suspects[vm.ID]; !ok {
		event.LedgerPeerSuspect.Log(r.log, slog.String("peer", vm.ID))
	}
	r.suspects[vm.ID] = time.Now().Add(suspectTime)
}

// clearSuspect records that a peer answered.
func (r *router) clearSuspect(vm platform.VM) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.suspects, vm.ID)
}
