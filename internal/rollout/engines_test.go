package rollout_test

import (
	"context"
	"fmt"
	"log/slog"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/hickorybank/hickorybank/internal/config"
	"github.com/hickorybank/hickorybank/internal/membership"
	"github.com/hickorybank/hickorybank/internal/platform"
	"github.com/hickorybank/hickorybank/internal/rollout"
	"github.com/hickorybank/hickorybank/internal/standin/engine"
	"github.com/hickorybank/hickorybank/internal/standin/platform/memory"
	"github.com/hickorybank/hickorybank/internal/upstream/client"
)

// waitTimeout is longer than any condition in these tests takes.
const waitTimeout = 30 * time.Second

// rig runs stand-in engines over loopback, a platform in memory, and drivers.
type rig struct {
	t        *testing.T
	engines  *client.Engines
	servers  []*engine.Server
	platform *memory.Platform
	view     *membership.View
	entries  []platform.VM
	members  atomic.Pointer[[]platform.VM] // those of entries that are still members
	snapshot atomic.Pointer[config.Snapshot]
	inForce  atomic.Uint64
}

func newRig(t *testing.T, engines int) *rig {
	r := &rig{t: t, engines: client.NewEngines(client.Options{}), platform: memory.New(), view: &membership.View{}}
	t.Cleanup(r.engines.Close)
	for i := range engines {
		r.addEngine(i)
	}
	for i := range 3 {
		r.entries = append(r.entries, platform.VM{ID: fmt.Sprintf("n%d", i), Role: platform.RoleEntry, State: platform.Live})
	}
	r.members.Store(&r.entries)
	return r
}

func (r *rig) addEngine(i int) {
	r.t.Helper()
	s, err := engine.New(engine.Settings{
		ID: fmt.Sprintf("e%d", i), Listen: "127.0.0.1:0", Versions: []string{"dues@1"},
		BatchLimit: 4, TokensPerAnswer: 2, HonourFence: i%2 == 0,
	}, slog.New(slog.DiscardHandler))
	if err == nil {
		err = s.Start()
	}
	if err != nil {
		r.t.Fatal(err)
	}
	r.t.Cleanup(func() { _ = s.Close(context.Background()) })
	r.servers = append(r.servers, s)
	r.view.Engines = append(r.view.Engines, membership.Member{VM: platform.VM{
		ID: fmt.Sprintf("e%d", i), Addr: s.Addr(), Role: platform.RoleEngine, FailureDomain: fmt.Sprintf("d%d", i%4), State: platform.Live,
	}})
}

// start starts the driver of an entry node.
func (r *rig) start(node int) *rollout.Driver {
	d := rollout.New(rollout.Settings{Lease: time.Second, OwnershipTTL: 300 * time.Millisecond, Tick: 10 * time.Millisecond, StateTTL: 200 * time.Millisecond, ReadsPerSecond: 1000, DrainTimeout: time.Millisecond}, rollout.Deps{
		Table:    r.platform,
		Engines:  r.engines,
		View:     func() *membership.View { return r.view },
		Snapshot: func() (*config.Snapshot, bool) { return r.snapshot.Load(), true },
		InForce: func(_ context.Context, revision uint64) (bool, error) {
			return revision <= r.inForce.Load(), nil
		},
		Self:    r.entries[node],
		Members: func() []platform.VM { return *r.members.Load() },
		Log:     slog.New(slog.DiscardHandler),
	})
	if err := d.Start(); err != nil {
		r.t.Fatal(err)
	}
	return d
}

// configure applies a configuration with two versions.
func (r *rig) configure(revision uint64, first, second config.Version) {
	r.t.Helper()
	doc := &config.Document{
		Preset:  "ordinary",
		Presets: []config.Preset{{Name: "ordinary", AdvanceRollouts: true}},
		Classes: []config.Class{{Name: "draft", Kind: config.Heavy, DeadlineMillis: 1}},
		Models:  []config.Model{{Name: "dues", Versions: []config.Version{first, second}}},
	}
	s, err := config.Compile(revision, doc)
	if err != nil {
		r.t.Fatal(err)
	}
	r.snapshot.Store(s)
}

// enginesWith is the number of engines that report the version.
func (r *rig) enginesWith(version string) int {
	n := 0
	for _, s := range r.servers {
		state, err := r.engines.State(context.Background(), s.Addr())
		if err != nil {
			r.t.Fatal(err)
		}
		if slices.Contains(state.Versions, version) {
			n++
		}
	}
	return n
}

func (r *rig) waitFor(what string, holds func() bool) {
	r.t.Helper()
	for end := time.Now().Add(waitTimeout); time.Now().Before(end); time.Sleep(time.Millisecond) {
		if holds() {
			return
		}
	}
	r.t.Fatal("timed out waiting until " + what)
}

func (r *rig) close(d *rollout.Driver) {
	r.t.Helper()
	if err := d.Close(context.Background()); err != nil {
		r.t.Fatal(err)
	}
}

// A rollout outlives its driver. Operators stage a version, widen it to serving and
// withdraw the old one. The node that drives stops halfway, and another one finishes. No
// engine loses the old version before the withdrawal is in force.
func TestAnotherDriverFinishesTheRollout(t *testing.T) {
	is := is.New(t)
	r := newRig(t, 8)
	oldVersion := config.Version{Name: "dues@1", State: config.Serving, InputCost: 1, OutputCost: 1, PriorQuality: 0.9}
	newVersion := config.Version{Name: "dues@2", State: config.Staged, Share: 0.5, ExposureCap: 10, InputCost: 1, OutputCost: 1, PriorQuality: 0.9}
	r.configure(1, oldVersion, newVersion)
	var drivers []*rollout.Driver
	for node := range r.entries {
		drivers = append(drivers, r.start(node))
	}
	r.waitFor("two engines have the staged version", func() bool { return r.enginesWith("dues@2") == 2 })
	holder := r.holder(drivers[0])
	newVersion.State, newVersion.Share, newVersion.ExposureCap = config.Serving, 0, 0
	r.configure(2, oldVersion, newVersion)
	for i, vm := range r.entries {
		if vm.ID == holder {
			r.close(drivers[i])
			drivers = slices.Delete(drivers, i, i+1)
			break
		}
	}
	remaining := slices.DeleteFunc(slices.Clone(r.entries), func(vm platform.VM) bool { return vm.ID == holder })
	r.members.Store(&remaining)
	r.waitFor("four engines have the serving version", func() bool { return r.enginesWith("dues@2") == 4 })
	is.True(r.holder(drivers[0]) != holder)
	oldVersion.State = config.Withdrawn
	r.configure(3, oldVersion, newVersion)
	r.waitFor("the withdrawal is seen", func() bool { return r.stage(drivers[0], "dues@1") == rollout.Draining })
	is.Equal(r.enginesWith("dues@1"), 8)
	r.inForce.Store(3)
	r.waitFor("the old version is gone", func() bool { return r.stage(drivers[0], "dues@1") == rollout.Gone })
	is.Equal(r.enginesWith("dues@1"), 0)
	is.Equal(r.enginesWith("dues@2"), 4)
	for _, d := range drivers {
		r.close(d)
	}
}

// holder is the node that holds the lease according to the row.
func (r *rig) holder(d *rollout.Driver) string {
	list, err := d.Rollouts(context.Background())
	if err != nil || len(list) == 0 {
		r.t.Fatal("no roll-outs: ", err)
	}
	return list[0].Holder
}

func (r *rig) stage(d *rollout.Driver, version string) rollout.Stage {
	list, err := d.Rollouts(context.Background())
	if err != nil {
		r.t.Fatal(err)
	}
	for _, s := range list {
		if s.Version == version {
			return s.Stage
		}
	}
	return ""
}
