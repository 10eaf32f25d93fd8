package capacity

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"github.com/sourcegraph/conc"

	"github.com/hickorybank/hickorybank/internal/ledger"
	"github.com/hickorybank/hickorybank/internal/peer"
	"github.com/hickorybank/hickorybank/internal/platform"
	"github.com/hickorybank/hickorybank/internal/request"
	"github.com/hickorybank/hickorybank/internal/standin/platform/memory"
)

// ledgerFleet is a set of nodes that claim and bill over loopback, with a platform in memory. Each
// node has the request rate of one node in [TargetSize].
type ledgerFleet struct {
	nodes  []*ledgerNode
	vms    []platform.VM
	stop   context.CancelFunc
	loads  conc.WaitGroup
	keys   atomic.Int64
	failed atomic.Int64
	done   atomic.Int64
}

type ledgerNode struct {
	ledger *ledger.Ledger
	server *peer.Server
	pool   *peer.Pool
}

func newLedgerFleet(size, domains int) (*ledgerFleet, error) {
	ctx, cancel := context.WithCancel(context.Background())
	f := &ledgerFleet{vms: fleet(size, 0, domains), stop: cancel}
	store := memory.New()
	for i := range f.vms {
		n := &ledgerNode{server: peer.NewServer(), pool: peer.NewPool()}
		if err := n.server.Listen("127.0.0.1:0"); err != nil {
			return nil, err
		}
		f.vms[i].Peer = n.server.Addr()
		f.nodes = append(f.nodes, n)
	}
	for i, n := range f.nodes {
		if err := f.start(n, f.vms[i], store); err != nil {
			return nil, err
		}
	}
	for _, n := range f.nodes {
		f.loads.Go(func() { f.load(ctx, n) })
	}
	return f, nil
}

func (f *ledgerFleet) start(n *ledgerNode, vm platform.VM, store *memory.Platform) error {
	n.ledger = ledger.New(ledger.DefaultSettings(), ledger.Deps{
		Table: store, Objects: store.Objects(), Peers: n.pool, Self: vm, Log: discard(),
		Members: func() []platform.VM { return f.vms },
	})
	if err := n.ledger.Register(n.server); err != nil {
		return err
	}
	n.server.Serve()
	return n.ledger.Start()
}

// claimEvery selects the requests that are claimed first: one in twenty is non-idempotent.
const claimEvery = 20

// load bills at the target rate of one node, and claims and settles some requests.
func (f *ledgerFleet) load(ctx context.Context, n *ledgerNode) {
	s := TargetSize()
	ticker := time.NewTicker(time.Duration(float64(time.Second) / s.perNode(s.Requests)))
	defer ticker.Stop()
	var requests conc.WaitGroup
	defer requests.Wait()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			requests.Go(func() { f.request(n) })
		}
	}
}

func (f *ledgerFleet) request(n *ledgerNode) {
	const timeout = 5 * time.Second
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	i := int(f.keys.Add(1))
	one := bills(i, 1)[0]
	one.At = time.Now()
	one.Key = uuid7At(time.Now(), i).String()
	var err error
	if i%claimEvery == 0 {
		err = claimAndSettle(ctx, n.ledger, one)
	} else {
		_, err = n.ledger.Bill(ctx, one)
	}
	if err != nil {
		f.failed.Add(1)
		return
	}
	f.done.Add(1)
}

func claimAndSettle(ctx context.Context, l *ledger.Ledger, one ledger.Bill) error {
	attempt := uuid7At(time.Now(), int(splitMix64(uint64(one.Cost))>>1)).String()
	r, err := l.Claim(ctx, ledger.ClaimRequest{Org: one.Org, Key: one.Key, Fingerprint: request.NewFingerprint(one.Org, []byte(one.Key)), Attempt: attempt})
	if err != nil {
		return err
	}
	if r.State.String() != "granted" {
		return eris.Errorf("claim of a new key is %v, want granted", r.State)
	}
	_, err = l.Settle(ctx, ledger.Settlement{Org: one.Org, Key: one.Key, Attempt: attempt, Outcome: request.Completed, Answer: rowOf(200), Bill: &one})
	return err
}

func (f *ledgerFleet) close() {
	f.stop()
	f.loads.Wait()
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	var all conc.WaitGroup
	for _, n := range f.nodes {
		all.Go(func() { _ = n.ledger.Close(ctx) })
	}
	all.Wait()
	for _, n := range f.nodes {
		n.pool.Close()
		n.server.Close()
	}
}

// result returns an error if any request was not billed.
func (f *ledgerFleet) result() error {
	if failed := f.failed.Load(); failed > 0 {
		return eris.Errorf("%d of %d requests were not billed", failed, failed+f.done.Load())
	}
	return nil
}
