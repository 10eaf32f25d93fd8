package capacity

import (
	"bytes"
	"context"
	"time"

	"github.com/rotisserie/eris"
	"github.com/sourcegraph/conc"

	"github.com/hickorybank/hickorybank/internal/admin"
	"github.com/hickorybank/hickorybank/internal/node"
	"github.com/hickorybank/hickorybank/internal/platform"
	"github.com/hickorybank/hickorybank/internal/seal"
	"github.com/hickorybank/hickorybank/internal/standin/platform/memory"
	"github.com/hickorybank/hickorybank/internal/upstream/client"
)

func nodeProbes() []Probe {
	return []Probe{{
		Slope: Slope{Name: "node.idle", What: "a second of whole nodes that nobody asks, before a platform in memory and one engine", Per: "entry nodes in one process", Unit: Nanoseconds},
		Sizes: []int{1, 4, 16}, QuickSizes: []int{1, 4}, Measure: measureIdle,
	}, {
		Slope: Slope{Name: "node.answer", What: "a streamed answer through a whole node before a platform in memory, its bill included; bare sockets at both ends included", Per: "tokens of the answer", Unit: Nanoseconds},
		Sizes: []int{4, 32, 128}, QuickSizes: []int{4, 32}, Measure: measureNode,
	}}
}

// nodeCallers is below a pool's initial limit, so that no request is queued.
const nodeCallers = 30

// nodeRig is an engine, whole nodes, and callers of the first node.
type nodeRig struct {
	engine  *rawEngine
	store   *memory.Platform
	nodes   []*rigNode
	callers rawCallers
}

type rigNode struct {
	*node.Node
	engines *client.Engines
}

func newNodeRig(nodes, pieces int) (*nodeRig, error) {
	turns := newPieceAcks(nodeCallers)
	e, err := newRawEngine(pieces, turns)
	if err != nil {
		return nil, err
	}
	r := &nodeRig{engine: e, store: memory.New(memory.WithSeed(1))}
	if err := r.initPlatform(); err != nil {
		return nil, err
	}
	for i := range nodes {
		if err := r.add(i); err != nil {
			r.close()
			return nil, err
		}
	}
	for i := range nodeCallers {
		// The second class is of kind heavy.
		c, err := newRawCaller(r.nodes[0].Addr(), className(1), i, pieces, turns[i])
		if err != nil {
			r.close()
			return nil, err
		}
		r.callers = append(r.callers, c)
	}
	return r, r.awaitServing()
}

// initPlatform stores a configuration and registers the engine.
func (r *nodeRig) initPlatform() error {
	ctx := context.Background()
	if _, _, err := admin.NewStore(r.store).Put(ctx, 0, document(fleetOrgs), "capacity"); err != nil {
		return err
	}
	return r.store.RegisterVM(ctx, platform.VM{ID: "engine-00000", Role: platform.RoleEngine, Addr: r.engine.Addr(), FailureDomain: domainName(0), State: platform.Live})
}

func (r *nodeRig) add(i int) error {
	engines := client.NewEngines(client.Options{})
	n, err := node.New(
		node.Settings{
			ID: nodeNames(i + 1)[i], FailureDomain: domainName(0), Listen: "127.0.0.1:0", PeerListen: "127.0.0.1:0",
			AddressTTL: 50 * time.Millisecond, SessionKeys: [][]byte{bytes.Repeat([]byte("k"), seal.MinKeyBytes)}, Seed: uint64(i),
		},
		node.Deps{Platform: r.store, Engines: engines, Services: client.NewServices(client.Options{}), Log: discard()},
	)
	if err != nil {
		return err
	}
	if err := n.Start(); err != nil {
		return err
	}
	r.nodes = append(r.nodes, &rigNode{Node: n, engines: engines})
	return r.store.RegisterVM(context.Background(), n.VM())
}

// awaitServing sends requests until the node answers one.
func (r *nodeRig) awaitServing() error {
	const timeout, pause = 20 * time.Second, 50 * time.Millisecond
	deadline := time.Now().Add(timeout)
	for {
		err := r.callers[:1].run(1)
		if err == nil {
			return nil
		}
		if time.Now().After(deadline) {
			return eris.Wrap(err, "node did not serve in time")
		}
		time.Sleep(pause)
	}
}

func (r *nodeRig) close() {
	r.callers.close()
	// A planned stop would wait for the TTL of callers' address lists.
	const timeout = 200 * time.Millisecond
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	var all conc.WaitGroup
	for _, n := range r.nodes {
		all.Go(func() {
			_ = n.Close(ctx)
			n.engines.Close()
		})
	}
	all.Wait()
	r.engine.Close()
}

func measureNode(m Meter, tokens int) (float64, error) {
	r, err := newNodeRig(1, tokens)
	if err != nil {
		return 0, err
	}
	defer r.close()
	return r.callers.measure(m)
}

func measureIdle(m Meter, nodes int) (float64, error) {
	const pieces = 1
	r, err := newNodeRig(nodes, pieces)
	if err != nil {
		return 0, err
	}
	defer r.close()
	time.Sleep(m.Window / 2)
	return m.PerSecond(), nil
}
