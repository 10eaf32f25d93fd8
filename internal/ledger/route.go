package ledger

import (
	"log/slog"
	"maps"
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
	// candidates is how many nodes are asked before one helps itself.
	candidates = 2
	// suspicion is how long a peer that did not answer is passed over.
	suspicion = 5 * time.Second
	// epoch is how long one node collects the bills of its failure domain. The
	// duty goes round, so that its cost, and the bills that wait in memory
	// while the platform is down, are spread over the domain's nodes.
	epoch = 5 * time.Second
)

// route picks nodes for duties by rendezvous hashing over the members that
// this node sees. Other nodes may see others, and pick others.
type route struct {
	self    platform.VM
	members func() []platform.VM
	log     *slog.Logger
	view    atomic.Pointer[view]

	mu       sync.Mutex
	suspects map[string]time.Time // until when, by id
}

func newRoute(d Deps) *route {
	return &route{self: d.Self, members: d.Members, log: d.Log, suspects: map[string]time.Time{}}
}

// batchers returns who should bring entries into a log: the members of any
// failure domain, in order, and this node in the end.
func (r *route) batchers(now time.Time, name key.Log) []platform.VM {
	return r.withSelf(r.first(now, name.Prefix(), r.look(now).all, candidates))
}

// collectors returns who should collect this node's bills.
func (r *route) collectors(now time.Time) []platform.VM {
	duty := "collect/" + r.self.FailureDomain + "/" + strconv.FormatInt(now.UnixNano()/int64(epoch), 10)
	return r.withSelf(r.first(now, duty, r.look(now).here, candidates))
}

// holders returns who should hold copies of a writer's rows, in order; there are
// more than needed, for those that have no room or do not answer.
func (r *route) holders(now time.Time, writer string) []platform.VM {
	return r.first(now, "hold/"+writer, r.look(now).elsewhere, 3*holdCopies)
}

// janitor says whether this node sees to old rows in this period.
func (r *route) janitor(now time.Time, period int64) bool {
	duty := "janitor/" + strconv.FormatInt(period, 10)
	return r.first(now, duty, r.look(now).all, 1)[0].ID == r.self.ID
}

// domains is how many failure domains the members are in.
func (r *route) domains() int { return r.look(time.Now()).domains }

// look returns the members as they are, or were a moment ago: to sort out all
// members for each message would cost a large fleet's nodes most of what they
// may spend.
func (r *route) look(now time.Time) *view {
	v := r.view.Load()
	if v == nil || now.Sub(v.at) > viewAge {
		v = newView(now, r.self, r.members())
		r.view.Store(v)
	}
	return v
}

// first returns the first of a group, without those under suspicion.
func (r *route) first(now time.Time, duty string, group []platform.VM, n int) []platform.VM {
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

func (r *route) find(id string) (platform.VM, bool) {
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

// withSelf ends the order with this node, which can do everything itself.
func (r *route) withSelf(order []platform.VM) []platform.VM {
	for i := range order {
		if order[i].ID == r.self.ID {
			return order[:i+1]
		}
	}
	return append(order, r.self)
}

// silent notes that a peer did not answer in time. A frozen peer would
// otherwise be waited for by each call that it comes first for.
func (r *route) silent(vm platform.VM) {
	if vm.ID == r.self.ID {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if _, ok := r.suspects[vm.ID]; !ok {
		event.LedgerPeerSuspect.Log(r.log, slog.String("peer", vm.ID))
	}
	r.suspects[vm.ID] = time.Now().Add(suspicion)
}

// answered notes that a peer answered.
func (r *route) answered(vm platform.VM) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.suspects, vm.ID)
}
