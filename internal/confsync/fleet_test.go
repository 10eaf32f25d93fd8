package confsync_test

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/hickorybank/hickorybank/internal/admin"
	"github.com/hickorybank/hickorybank/internal/config"
	"github.com/hickorybank/hickorybank/internal/confsync"
	"github.com/hickorybank/hickorybank/internal/confsync/tablestore"
	"github.com/hickorybank/hickorybank/internal/example"
	"github.com/hickorybank/hickorybank/internal/peer"
	"github.com/hickorybank/hickorybank/internal/platform"
	"github.com/hickorybank/hickorybank/internal/standin/platform/fault"
	"github.com/hickorybank/hickorybank/internal/standin/platform/memory"
)

const waitLimit = 30 * time.Second

// fleet is a set of Syncers on loopback that share a platform in memory.
type fleet struct {
	t        testing.TB
	platform *memory.Platform
	doc      *config.Document
	nodes    []*member
	newPool  func() caller
}

// member is a Syncer with its server and what its callbacks reported.
type member struct {
	*confsync.Syncer
	vm     platform.VM
	server *peer.Server
	pool   caller

	mu      sync.Mutex
	vms     []platform.VM
	leaving []string
}

// caller is a pool of connections to peers.
type caller interface {
	peer.Caller
	Close()
}

func newFleet(t testing.TB, size, domains int) *fleet {
	t.Helper()
	return newFleetWith(t, size, domains, func() caller { return peer.NewPool() })
}

func newFleetWith(t testing.TB, size, domains int, pool func() caller) *fleet {
	t.Helper()
	doc, err := example.Load("tarifas")
	if err != nil {
		t.Fatal(err)
	}
	f := &fleet{t: t, platform: memory.New(), doc: doc, newPool: pool}
	for i := range size {
		f.add(fmt.Sprintf("n%d", i), fmt.Sprintf("d%d", i%domains))
	}
	t.Cleanup(f.close)
	return f
}

func (f *fleet) add(id, domain string) *member {
	return f.addWith(id, domain, func(s confsync.Store) confsync.Store { return s })
}

// addWith adds a node that accesses the table through a wrapper.
func (f *fleet) addWith(id, domain string, seen func(confsync.Store) confsync.Store) *member {
	m := &member{server: peer.NewServer(), pool: f.newPool()}
	if err := m.server.Listen("127.0.0.1:0"); err != nil {
		f.t.Fatal(err)
	}
	m.vm = platform.VM{ID: id, Role: platform.RoleEntry, Addr: m.server.Addr(), Peer: m.server.Addr(), FailureDomain: domain, State: platform.Live}
	m.Syncer = confsync.New(confsync.Settings{}, confsync.Deps{
		Store: seen(tablestore.New(f.platform)), Lists: f.platform.VMs(), Peers: m.pool, Self: m.vm,
		Members: m.members, OnList: m.setList, OnLeaving: m.setLeaving,
		Log: slog.New(slog.NewTextHandler(io.Discard, nil)),
	})
	if err := m.Register(m.server); err != nil {
		f.t.Fatal(err)
	}
	m.server.Serve()
	if err := m.Start(); err != nil {
		f.t.Fatal(err)
	}
	if err := f.platform.RegisterVM(context.Background(), m.vm); err != nil {
		f.t.Fatal(err)
	}
	f.nodes = append(f.nodes, m)
	return m
}

func (m *member) members() []platform.VM {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.vms
}

func (m *member) setList(l confsync.List) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.vms = l.VMs
}

func (m *member) setLeaving(id string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.leaving = append(m.leaving, id)
}

func (m *member) knowsLeaving(id string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.leaving) == 1 && m.leaving[0] == id
}

func (f *fleet) close() {
	ctx, cancel := context.WithTimeout(context.Background(), waitLimit)
	defer cancel()
	for _, m := range f.nodes {
		if err := m.Close(ctx); err != nil {
			f.t.Error(err)
		}
	}
	for _, m := range f.nodes {
		m.pool.Close()
		m.server.Close()
	}
}

// change stores a new revision that has the given preset.
func (f *fleet) change(base uint64, preset string) {
	f.t.Helper()
	doc := *f.doc
	doc.Preset = preset
	_, applied, err := admin.NewStore(f.platform).Put(context.Background(), base, &doc, fmt.Sprint("change ", base, preset))
	if err != nil || !applied {
		f.t.Fatalf("change was not applied: %v", err)
	}
}

func (f *fleet) tableDown(down bool) {
	f.t.Helper()
	if err := f.platform.SetFaults(fault.Change{Table: &fault.Fault{Down: down}}); err != nil {
		f.t.Fatal(err)
	}
}

// await waits until each node satisfies a condition.
func (f *fleet) await(what string, wanted func(*member) bool) {
	f.t.Helper()
	deadline := time.Now().Add(waitLimit)
	for _, m := range f.nodes {
		for !wanted(m) {
			if time.Now().After(deadline) {
				f.t.Fatalf("%s at %s: %+v", what, m.vm.ID, m.Status())
			}
			time.Sleep(2 * time.Millisecond)
		}
	}
}

// readers returns the number of nodes that read the table now.
func (f *fleet) readers() (n int) {
	for _, m := range f.nodes {
		if m.Status().Reader {
			n++
		}
	}
	return n
}

func admitsUnder(revision uint64) func(*member) bool {
	return func(m *member) bool {
		snapshot, fresh := m.Current()
		return fresh && snapshot.Revision == revision
	}
}

func awaitInForce(is *is.I, m *member, revision uint64) confsync.Confirmation {
	is.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), waitLimit)
	defer cancel()
	for {
		c, err := m.Confirmations(ctx, revision)
		is.NoErr(err) // in force within waitLimit
		if c.InForce {
			return c
		}
		time.Sleep(20 * time.Millisecond)
	}
}
