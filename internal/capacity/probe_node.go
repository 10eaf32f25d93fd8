package capacity

import (
	"bytes"
	"context"
	"time"

	"github.com/rotisserie/eris"

	"github.com/hickorybank/hickorybank/internal/admin"
	"github.com/hickorybank/hickorybank/internal/node"
	"github.com/hickorybank/hickorybank/internal/platform"
	"github.com/hickorybank/hickorybank/internal/seal"
	"github.com/hickorybank/hickorybank/internal/standin/platform/memory"
	"github.com/hickorybank/hickorybank/internal/upstream/client"
)

func nodeProbes() []Probe {
	return []Probe{{
		Slope: Slope{Name: "node.answer", What: "a streamed answer through a whole node before a platform in memory, its bill included; bare sockets at both ends included", Per: "tokens of the answer", Unit: Nanoseconds},
		Sizes: []int{4, 32, 128}, QuickSizes: []int{4, 32}, Measure: measureNode,
	}}
}

// nodeCallers are fewer than a pool's first limit, so that none waits.
const nodeCallers = 30

// nodeRig is an engine, a whole node and callers.
type nodeRig struct {
	engine  *rawEngine
	engines *client.Engines
	node    *node.Node
	callers rawCallers
}

func newNodeRig(pieces int) (*nodeRig, error) {
	turns := newTurns(nodeCallers)
	e, err := newRawEngine(pieces, turns)
	if err != nil {
		return nil, err
	}
	r := &nodeRig{engine: e, engines: client.NewEngines(client.Options{})}
	if err := r.start(); err != nil {
		return nil, err
	}
	for i := range nodeCallers {
		// The second class is heavy work.
		c, err := newRawCaller(r.node.Addr(), className(1), i, pieces, turns[i])
		if err != nil {
			r.close()
			return nil, err
		}
		r.callers = append(r.callers, c)
	}
	return r, r.settle()
}

func (r *nodeRig) start() error {
	ctx := context.Background()
	store := memory.New(memory.WithSeed(1))
	if _, _, err := admin.NewStore(store).Put(ctx, 0, document(fleetOrgs), "capacity"); err != nil {
		return err
	}
	n, err := node.New(
		node.Settings{
			ID: "entry-00000", FailureDomain: domainName(0), Listen: "127.0.0.1:0", PeerListen: "127.0.0.1:0",
			AddressTTL: 50 * time.Millisecond, SessionKeys: [][]byte{bytes.Repeat([]byte("k"), seal.MinKeyBytes)}, Seed: 1,
		},
		node.Deps{Platform: store, Engines: r.engines, Services: client.NewServices(client.Options{}), Log: discard()},
	)
	if err != nil {
		return err
	}
	if err := n.Start(); err != nil {
		return err
	}
	r.node = n
	if err := store.RegisterVM(ctx, n.VM()); err != nil {
		return err
	}
	return store.RegisterVM(ctx, platform.VM{ID: "engine-00000", Role: platform.RoleEngine, Addr: r.engine.addr(), FailureDomain: domainName(0), State: platform.Live})
}

// settle asks until the node answers.
func (r *nodeRig) settle() error {
	const patience, pause = 20 * time.Second, 50 * time.Millisecond
	deadline := time.Now().Add(patience)
	for {
		err := r.callers[:1].run(1)
		if err == nil {
			return nil
		}
		if time.Now().After(deadline) {
			return eris.Wrap(err, "the node did not serve")
		}
		time.Sleep(pause)
	}
}

func (r *nodeRig) close() {
	r.callers.close()
	// A planned stop would wait for callers who know its address.
	const patience = 500 * time.Millisecond
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	_ = r.node.Close(ctx)
	r.engines.Close()
	r.engine.close()
}

func measureNode(m Meter, tokens int) (float64, error) {
	r, err := newNodeRig(tokens)
	if err != nil {
		return 0, err
	}
	defer r.close()
	if err := r.callers.run(1); err != nil {
		return 0, err
	}
	var failed error
	v := m.CPU(func(n int) {
		if err := r.callers.run(n); err != nil {
			failed = err
		}
	})
	return v / nodeCallers, failed
}
