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
	pollInterval       = 250 * time.Millisecond
	pollTimeout        = 2 * time.Second
	maxConcurrentPolls = 16
)

// upstreams owns the balancer and polls upstreams for their load.
type upstreams struct {
	node *Node

	mu       sync.Mutex
	balancer *balance.Balancer
	epochs   map[string]uint64 // process epoch by VM ID
	polling  map[string]bool   // VM IDs with a poll in flight

	shortageLog   logLimiter
	noCapacityLog logLimiter
}

func newUpstreams(n *Node) *upstreams {
	return &upstreams{
		node:     n,
		balancer: balance.New(balance.Settings{Seed: n.settings.Seed, SelfID: n.settings.ID, SelfDomain: n.settings.FailureDomain}),
		epochs:   map[string]uint64{},
		polling:  map[string]bool{},
	}
}

// setView passes the upstreams to the balancer. Leaving upstreams get no new work, even if the
// platform's list still shows them as live. An unreachable upstream stays listed: its circuit
// breaker blocks it and detects its return.
func (u *upstreams) setView(v *membership.View) {
	var vms []platform.VM
	for _, m := range v.Engines {
		vms = append(vms, balancerMember(m))
	}
	for _, s := range v.Services {
		for _, m := range s.Members {
			vms = append(vms, balancerMember(m))
		}
	}
	rank := balance.NodeRankOf(v.EntryVMs(), u.node.settings.ID, u.node.settings.FailureDomain)
	u.mu.Lock()
	defer u.mu.Unlock()
	u.balancer.SetMembers(vms, rank, time.Now())
	u.balancer.SetSenders(u.node.settings.ID, entryIDs(v, u.node.settings.ID))
}

func balancerMember(m membership.Member) platform.VM {
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
		u.logShortage(r, pick.Shortage)
	}
	return pick, ok
}

func (u *upstreams) logShortage(r balance.Request, s balance.Shortage) {
	if !u.shortageLog.allow(r.Now) {
		return
	}
	event.PoolShort.Log(u.node.deps.Log, slog.String("version", r.Version), slog.String("service", r.Service), slog.String("reason", string(s.Reason)))
}

// pool returns the name of the pool of upstreams that serves the version, perhaps with others.
func (u *upstreams) pool(version string) string {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.balancer.PoolName(version)
}

// capacities returns the free capacity for each version. It also logs a version that no engine can
// run: no request is sent to that version any more, so no refusal would show the shortage.
func (u *upstreams) capacities(versions []string) []choice.VersionCapacity {
	u.mu.Lock()
	defer u.mu.Unlock()
	now := time.Now()
	capacities := make([]choice.VersionCapacity, len(versions))
	for i, v := range versions {
		capacities[i] = choice.VersionCapacity(u.balancer.VersionCapacity(v, now))
		if capacities[i].None() && u.noCapacityLog.allow(now) {
			event.PoolShort.Log(u.node.deps.Log, slog.String("version", v), slog.String("reason", "no usable engine has it"))
		}
	}
	return capacities
}

// loads returns the reported load of each pool.
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

// anyReported reports whether any upstream has reported its load, or there are no upstreams.
func (u *upstreams) anyReported() bool {
	hosts := u.status()
	for _, h := range hosts {
		if h.ReportAge >= 0 {
			return true
		}
	}
	return len(hosts) == 0
}

// poll requests load reports at the times set by the balancer, until ctx ends.
func (u *upstreams) poll(ctx context.Context) {
	slots := make(chan struct{}, maxConcurrentPolls)
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			u.pollDue(ctx, slots)
			u.node.reportPools()
			u.logChanges()
		}
	}
}

// logChanges logs the state changes of upstreams.
func (u *upstreams) logChanges() {
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

	balance.LimitBegan:   event.LimitBegan,
	balance.LimitEnded:   event.LimitEnded,
	balance.BackoffBegan: event.BackoffBegan,
}

func (u *upstreams) pollDue(ctx context.Context, slots chan struct{}) {
	for _, vm := range u.due() {
		select {
		case slots <- struct{}{}:
			u.node.duties.Go(func() {
				defer func() { <-slots }()
				u.pollOne(ctx, vm)
			})
		default:
			u.pollEnded(vm.ID) // frozen upstreams occupy all slots; it is polled later
		}
	}
}

// due returns the upstreams to poll now. It leaves out those with a poll in flight, so that
// calls to a frozen upstream do not accumulate.
func (u *upstreams) due() []platform.VM {
	u.mu.Lock()
	defer u.mu.Unlock()
	var due []platform.VM
	for _, vm := range u.balancer.NeedPoll(time.Now()) {
		if u.polling[vm.ID] {
			continue
		}
		u.polling[vm.ID] = true
		due = append(due, vm)
	}
	return due
}

func (u *upstreams) pollEnded(vm string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	delete(u.polling, vm)
}

func (u *upstreams) pollOne(ctx context.Context, vm platform.VM) {
	defer u.pollEnded(vm.ID)
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	report, err := u.node.deps.Engines.Load(u.withNotices(ctx, vm), vm.Addr)
	if err != nil {
		u.pollFailed(vm, err)
		return
	}
	u.pollSucceeded(vm, report)
}

func (u *upstreams) pollFailed(vm platform.VM, err error) {
	u.mu.Lock()
	u.balancer.PollFailed(vm.ID, time.Now())
	u.mu.Unlock()
	u.node.observe(vm.Addr, err)
}

func (u *upstreams) pollSucceeded(vm platform.VM, r upstream.LoadReport) {
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
		u.node.members.Observe(vm.Addr, membership.ReportedLeaving)
	case restarted:
		// A new process on the VM invalidates the old one's announcement that it is leaving.
		u.node.members.Observe(vm.Addr, membership.ReportedServing)
	default:
		u.node.members.Observe(vm.Addr, membership.Reached)
	}
}

// observe reports the result of a call to an upstream to the membership tracker.
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
