package node

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/hickorybank/hickorybank/internal/admission"
	"github.com/hickorybank/hickorybank/internal/balance"
	"github.com/hickorybank/hickorybank/internal/choice"
	"github.com/hickorybank/hickorybank/internal/event"
	"github.com/hickorybank/hickorybank/internal/membership"
	"github.com/hickorybank/hickorybank/internal/platform"
	"github.com/hickorybank/hickorybank/internal/upstream"
)

const (
	pollTick    = 250 * time.Millisecond
	pollTimeout = 2 * time.Second
	pollsAtOnce = 16
)

// upstreams owns the balancer and asks upstreams for their load.
type upstreams struct {
	node *Node

	mu       sync.Mutex
	balancer *balance.Balancer
	epochs   map[string]uint64 // by VM
	asking   map[string]bool

	shortages throttle
	roomless  throttle
}

func newUpstreams(n *Node) *upstreams {
	return &upstreams{
		node:     n,
		balancer: balance.New(balance.Settings{Seed: n.settings.Seed, SelfID: n.settings.ID, SelfDomain: n.settings.FailureDomain}),
		epochs:   map[string]uint64{},
		asking:   map[string]bool{},
	}
}

// setView takes the VMs in. Those that are leaving take no new work, whatever
// the platform's lagging list still says; one that cannot be reached is left
// to its breaker, which also finds out when it is back.
func (u *upstreams) setView(v *membership.View) {
	var vms []platform.VM
	for _, m := range v.Engines {
		vms = append(vms, listed(m))
	}
	for _, s := range v.Services {
		for _, m := range s.Members {
			vms = append(vms, listed(m))
		}
	}
	place := balance.NodeRankOf(v.EntryVMs(), u.node.settings.ID, u.node.settings.FailureDomain)
	u.mu.Lock()
	defer u.mu.Unlock()
	u.balancer.SetMembers(vms, place, time.Now())
	u.balancer.SetSenders(u.node.settings.ID, entryIDs(v, u.node.settings.ID))
}

func listed(m membership.Member) platform.VM {
	vm := m.VM
	if m.State == membership.Leaving {
		vm.State = platform.Leaving
	}
	return vm
}

func (u *upstreams) pick(r balance.Request) (balance.Pick, bool) {
	r.Now = time.Now()
	r.Random = rand.Uint64()
	u.mu.Lock()
	pick, ok := u.balancer.Pick(r)
	u.mu.Unlock()
	if !ok && pick.Shortage.Reason != balance.AllTried {
		u.tellShortage(r, pick.Shortage)
	}
	return pick, ok
}

func (u *upstreams) tellShortage(r balance.Request, s balance.Shortage) {
	if !u.shortages.allow(r.Now) {
		return
	}
	event.PoolShort.Log(u.node.deps.Log, slog.String("version", r.Version), slog.String("service", r.Service), slog.String("reason", string(s.Reason)))
}

// pool names the pool of upstreams that a version shares with others.
func (u *upstreams) pool(version string) string {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.balancer.PoolName(version)
}

// rooms says what there is room for, one entry for each version. A version
// that no engine can run is told of here: no request is sent there any more
// whose refusal would tell.
func (u *upstreams) rooms(versions []string) []choice.Room {
	u.mu.Lock()
	defer u.mu.Unlock()
	now := time.Now()
	rooms := make([]choice.Room, len(versions))
	for i, v := range versions {
		rooms[i] = choice.Room(u.balancer.Room(v, now))
		if rooms[i].None() && u.roomless.allow(now) {
			event.PoolShort.Log(u.node.deps.Log, slog.String("version", v), slog.String("reason", "no usable engine has it"))
		}
	}
	return rooms
}

// loads sums up what the upstreams of each pool reported.
func (u *upstreams) loads(versions, services []string) map[string]admission.PoolLoad {
	u.mu.Lock()
	defer u.mu.Unlock()
	now := time.Now()
	loads := make(map[string]admission.PoolLoad, len(versions)+len(services))
	for _, v := range versions {
		name := u.balancer.PoolName(v)
		if _, done := loads[name]; !done {
			loads[name] = admission.PoolLoad(u.balancer.PoolLoad(v, "", now))
		}
	}
	for _, s := range services {
		loads[s] = admission.PoolLoad(u.balancer.PoolLoad("", s, now))
	}
	return loads
}

func (u *upstreams) firstToken(t balance.Token, after time.Duration) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.balancer.FirstToken(t, after, time.Now())
}

func (u *upstreams) done(t balance.Token, r balance.Result) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.balancer.Done(t, r, time.Now())
}

func (u *upstreams) epoch(vm string) uint64 {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.epochs[vm]
}

func (u *upstreams) status() []balance.HostStatus {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.balancer.Status(time.Now())
}

// known says that some upstream has reported what it has, or that there is
// none to report.
func (u *upstreams) known() bool {
	hosts := u.status()
	for _, h := range hosts {
		if h.ReportAge >= 0 {
			return true
		}
	}
	return len(hosts) == 0
}

// poll asks for load reports as the balancer wants them.
func (u *upstreams) poll(ctx context.Context) {
	slots := make(chan struct{}, pollsAtOnce)
	ticker := time.NewTicker(pollTick)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			u.ask(ctx, slots)
			u.node.reportPools()
			u.tellChanges()
		}
	}
}

// tellChanges logs what has changed of upstreams.
func (u *upstreams) tellChanges() {
	u.mu.Lock()
	changes := u.balancer.Changes()
	u.mu.Unlock()
	for _, c := range changes {
		changeEvents[c.Kind].Log(u.node.deps.Log, slog.String("vm", c.VM.ID))
	}
}

var changeEvents = map[balance.ChangeKind]event.Event{
	balance.Opened:  event.BreakerOpened,
	balance.Closed:  event.BreakerClosed,
	balance.Ejected: event.UpstreamEjected,

	balance.LimitBegan: event.LimitBegan,
	balance.LimitEnded: event.LimitEnded,
	balance.RestBegan:  event.RestBegan,
}

func (u *upstreams) ask(ctx context.Context, slots chan struct{}) {
	for _, vm := range u.due() {
		select {
		case slots <- struct{}{}:
			u.node.duties.Go(func() {
				defer func() { <-slots }()
				u.askOne(ctx, vm)
			})
		default:
			u.answered(vm.ID) // frozen upstreams hold all slots; it is asked later
		}
	}
}

// due are the upstreams to ask now, without those whose answer is still out:
// a frozen one must not gather calls.
func (u *upstreams) due() []platform.VM {
	u.mu.Lock()
	defer u.mu.Unlock()
	var due []platform.VM
	for _, vm := range u.balancer.NeedPoll(time.Now()) {
		if u.asking[vm.ID] {
			continue
		}
		u.asking[vm.ID] = true
		due = append(due, vm)
	}
	return due
}

func (u *upstreams) answered(vm string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	delete(u.asking, vm)
}

func (u *upstreams) askOne(ctx context.Context, vm platform.VM) {
	defer u.answered(vm.ID)
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	report, err := u.node.deps.Engines.Load(u.hearing(ctx, vm), vm.Addr)
	if err != nil {
		u.failed(vm, err)
		return
	}
	u.reported(vm, report)
}

func (u *upstreams) failed(vm platform.VM, err error) {
	u.mu.Lock()
	u.balancer.PollFailed(vm.ID, time.Now())
	u.mu.Unlock()
	u.node.observe(vm.Addr, err)
}

func (u *upstreams) reported(vm platform.VM, r upstream.LoadReport) {
	u.mu.Lock()
	u.balancer.Report(vm.ID, r, time.Now())
	restarted := u.epochs[vm.ID] != r.Epoch
	u.epochs[vm.ID] = r.Epoch
	if restarted {
		u.balancer.Restarted(vm.ID)
	}
	u.mu.Unlock()
	u.node.suspects.observe(vm.ID, r)
	switch {
	case r.Leaving:
		u.node.members.Observe(vm.Addr, membership.SaidLeaving)
	case restarted:
		// A new process on the VM takes back what the old one said of itself.
		u.node.members.Observe(vm.Addr, membership.SaidServing)
	default:
		u.node.members.Observe(vm.Addr, membership.Reached)
	}
}

// observe tells the membership what a call to an upstream showed of it.
func (n *Node) observe(addr string, err error) {
	switch balance.OutcomeOf(err) {
	case balance.Succeeded:
		n.members.Observe(addr, membership.Reached)
	case balance.Unreached:
		n.members.Observe(addr, membership.ConnectFailed)
	case balance.Broken:
		n.members.Observe(addr, membership.Broken)
	}
}
