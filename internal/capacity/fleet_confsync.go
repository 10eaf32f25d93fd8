package capacity

import (
	"context"
	"encoding/json"
	"io"
	"log/slog"
	"time"

	"github.com/rotisserie/eris"
	"github.com/sourcegraph/conc"

	"github.com/hickorybank/hickorybank/internal/admin"
	"github.com/hickorybank/hickorybank/internal/archive"
	"github.com/hickorybank/hickorybank/internal/confsync"
	"github.com/hickorybank/hickorybank/internal/confsync/tablestore"
	"github.com/hickorybank/hickorybank/internal/peer"
	"github.com/hickorybank/hickorybank/internal/platform"
	"github.com/hickorybank/hickorybank/internal/standin/platform/memory"
)

func discard() *slog.Logger { return slog.New(slog.NewTextHandler(io.Discard, nil)) }

// configFleet is a set of nodes that synchronise a configuration over loopback, with a platform in
// memory.
type configFleet struct {
	platform *memory.Platform
	nodes    []*configNode
	vms      []platform.VM
}

type configNode struct {
	syncer *confsync.Syncer
	server *peer.Server
	pool   *peer.Pool
	relay  *relay
}

// fleetOrgs is the number of organisations in the fleet's configuration.
const fleetOrgs = 10

// newConfigFleet starts the nodes. With counted, a relay before each node counts bytes.
func newConfigFleet(size int, counted bool) (*configFleet, error) {
	f := &configFleet{platform: memory.New(), vms: fleet(size, 0, max(1, size/nodesPerFleetDomain))}
	if err := f.store(); err != nil {
		return nil, err
	}
	for i := range f.vms {
		if err := f.add(&f.vms[i], counted); err != nil {
			f.close()
			return nil, err
		}
	}
	for i, n := range f.nodes {
		n.syncer = f.syncer(i)
		if err := n.syncer.Register(n.server); err != nil {
			f.close()
			return nil, err
		}
		n.server.Serve()
	}
	for _, n := range f.nodes {
		if err := n.syncer.Start(); err != nil {
			f.close()
			return nil, err
		}
	}
	return f, f.awaitSettled()
}

// nodesPerFleetDomain is the number of nodes in a failure domain, as in [TargetSize].
const nodesPerFleetDomain = 42

func (f *configFleet) store() error {
	_, applied, err := admin.NewStore(f.platform).Put(context.Background(), 0, document(fleetOrgs), "capacity")
	if err == nil && !applied {
		err = eris.New("configuration was not stored: revision conflict")
	}
	return err
}

func (f *configFleet) add(vm *platform.VM, counted bool) error {
	n := &configNode{server: peer.NewServer(), pool: peer.NewPool()}
	if err := n.server.Listen("127.0.0.1:0"); err != nil {
		return err
	}
	f.nodes = append(f.nodes, n)
	vm.Peer = n.server.Addr()
	if !counted {
		return nil
	}
	r, err := newRelay(vm.Peer)
	if err != nil {
		return err
	}
	n.relay = r
	vm.Peer = r.addr()
	return nil
}

func (f *configFleet) syncer(i int) *confsync.Syncer {
	return confsync.New(confsync.Settings{Seed: uint64(i)}, confsync.Deps{
		Store: tablestore.New(f.platform), Peers: f.nodes[i].pool, Self: f.vms[i], Log: discard(),
		Members: func() []platform.VM { return f.vms },
	})
}

// awaitSettled waits until every node has the configuration and no failure domain has more than
// its readers.
func (f *configFleet) awaitSettled() error {
	const timeout, pause, settleTime = 20 * time.Second, 20 * time.Millisecond, 500 * time.Millisecond
	for deadline := time.Now().Add(timeout); !f.settled(); {
		if time.Now().After(deadline) {
			return eris.Errorf("configuration fleet of %d nodes did not settle within %s", len(f.nodes), timeout)
		}
		time.Sleep(pause)
	}
	time.Sleep(settleTime)
	return nil
}

func (f *configFleet) settled() bool {
	readers := 0
	for _, n := range f.nodes {
		if !n.syncer.Fresh() {
			return false
		}
		if n.syncer.Status().Reader {
			readers++
		}
	}
	return readers <= syncSettings().Readers*max(1, len(f.nodes)/nodesPerFleetDomain)
}

func (f *configFleet) close() {
	var all conc.WaitGroup
	for _, n := range f.nodes {
		all.Go(func() {
			if n.syncer != nil {
				_ = n.syncer.Close(context.Background())
			}
			n.pool.Close()
		})
	}
	all.Wait()
	for _, n := range f.nodes {
		n.server.Close()
		if n.relay != nil {
			n.relay.close()
		}
	}
}

// bytes returns the bytes that all nodes exchanged, each counted once.
func (f *configFleet) bytes() int64 {
	var sum int64
	for _, n := range f.nodes {
		sum += n.relay.bytes.Load()
	}
	return sum
}

// deltaOf returns a document and the delta that changes one organisation's limit in it.
func deltaOf(orgs int) (before []byte, d archive.Delta, err error) {
	doc := document(orgs)
	if before, err = json.Marshal(doc); err != nil {
		return nil, archive.Delta{}, err
	}
	doc.Organisations[orgs/2].RatePerSecond = 25
	after, err := json.Marshal(doc)
	if err != nil {
		return nil, archive.Delta{}, err
	}
	d, err = archive.MakeDelta(1, 2, before, after)
	return before, d, err
}

// listState is the VM list in the form sent between peers.
type listState struct {
	VMs []platform.VM `json:"vms"`
}

// listDeltaOf returns a VM list and the delta in which one VM leaves and another joins.
func listDeltaOf(vms int) (before []byte, d archive.Delta, err error) {
	list := fleet(0, vms+1, domainsOf(vms))
	if before, err = json.Marshal(listState{list[:vms]}); err != nil {
		return nil, archive.Delta{}, err
	}
	after, err := json.Marshal(listState{list[1:]})
	if err != nil {
		return nil, archive.Delta{}, err
	}
	d, err = archive.MakeDelta(1, 2, before, after)
	return before, d, err
}
