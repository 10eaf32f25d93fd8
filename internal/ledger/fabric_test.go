package ledger

import (
	"bytes"
	"context"
	"encoding/gob"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/uuid"
	"github.com/matryer/is"

	"github.com/hickorybank/hickorybank/internal/ledger/wire"
	"github.com/hickorybank/hickorybank/internal/peer"
	"github.com/hickorybank/hickorybank/internal/platform"
	"github.com/hickorybank/hickorybank/internal/standin/platform/fault"
	"github.com/hickorybank/hickorybank/internal/standin/platform/memory"
)

// fabric is an in-process network between ledgers in one synctest bubble. It can freeze
// nodes, disconnect them and lose their answers.
type fabric struct {
	mu     sync.Mutex
	nodes  map[string]*service
	frozen map[string]chan struct{}
	lossy  map[string]bool
}

func newFabric() *fabric {
	return &fabric{nodes: map[string]*service{}, frozen: map[string]chan struct{}{}, lossy: map[string]bool{}}
}

// Call implements peer.Caller.
func (f *fabric) Call(ctx context.Context, addr, method string, args, reply any) error {
	f.mu.Lock()
	node, frozen, lossy := f.nodes[addr], f.frozen[addr], f.lossy[addr]
	f.mu.Unlock()
	if node == nil {
		return peer.ErrNotSent
	}
	done := make(chan error, 1)
	got := newReply(reply)
	go func() {
		if frozen != nil {
			<-frozen
		}
		done <- dispatch(node, method, args, got)
	}()
	select {
	case <-ctx.Done():
		return peer.ErrUnknown
	case err := <-done:
		if lossy {
			return peer.ErrUnknown
		}
		if err != nil {
			return errors.New(err.Error()) // net/rpc keeps only the text
		}
		return copyByGob(got, reply)
	}
}

// copyByGob copies a message by gob, as net/rpc does.
func copyByGob(from, to any) error {
	var buf bytes.Buffer
	if err := gob.NewEncoder(&buf).Encode(from); err != nil {
		return err
	}
	return gob.NewDecoder(&buf).Decode(to)
}

func newReply(reply any) any {
	switch reply.(type) {
	case *wire.AppendReply:
		return new(wire.AppendReply)
	case *wire.CollectReply:
		return new(wire.CollectReply)
	case *wire.HoldReply:
		return new(wire.HoldReply)
	case *wire.HeldRowsReply:
		return new(wire.HeldRowsReply)
	default:
		return new(wire.AliveReply)
	}
}

func dispatch(s *service, method string, args, reply any) error {
	switch method {
	case methodAppend:
		return handle(s.Append, args, reply)
	case methodCollect:
		return handle(s.Collect, args, reply)
	case methodHold:
		return handle(s.Hold, args, reply)
	case methodRefresh:
		return handle(s.Refresh, args, reply)
	case methodDrop:
		return handle(s.Drop, args, reply)
	default:
		return handle(s.Alive, args, reply)
	}
}

func handle[A, R any](method func(*A, *R) error, args, reply any) error {
	var got A
	if err := copyByGob(args, &got); err != nil {
		return err
	}
	return method(&got, reply.(*R))
}

// cluster is a set of ledgers with one platform.
type cluster struct {
	t        *testing.T
	platform *memory.Platform
	table    platform.Table
	fabric   *fabric
	members  []platform.VM
	ledgers  map[string]*Ledger
	settings Settings
	cutOff   map[string]*atomic.Bool // from the platform, by node
	mu       sync.Mutex
}

// newCluster starts n nodes in four failure domains. If broken, the table ignores the
// conditions of transactions.
func newCluster(t *testing.T, n int, broken bool) *cluster {
	c := &cluster{t: t, platform: memory.New(), fabric: newFabric(), ledgers: map[string]*Ledger{}, settings: DefaultSettings(), cutOff: map[string]*atomic.Bool{}}
	c.table = c.platform
	if broken {
		c.table = unconditional{c.platform}
	}
	for i := range n {
		id := fmt.Sprintf("e%d", i)
		c.members = append(c.members, platform.VM{
			ID: id, Role: platform.RoleEntry, Peer: id, FailureDomain: fmt.Sprintf("d%d", i%4), State: platform.Live,
		})
	}
	for _, vm := range c.members {
		c.start(vm)
	}
	return c
}

func (c *cluster) start(vm platform.VM) *Ledger {
	cut := new(atomic.Bool)
	c.cutOff[vm.ID] = cut
	l := New(c.settings, Deps{
		Table: cutTable{c.table, cut}, Objects: cutObjects{c.platform.Objects(), cut}, Peers: c.fabric, Self: vm,
		Members: func() []platform.VM { return c.view() }, Log: slog.New(slog.NewTextHandler(io.Discard, nil)),
	})
	if err := l.Start(); err != nil {
		c.t.Fatal(err)
	}
	c.fabric.mu.Lock()
	c.fabric.nodes[vm.Peer] = &service{l}
	c.fabric.mu.Unlock()
	c.ledgers[vm.ID] = l
	return l
}

func (c *cluster) view() []platform.VM {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.members
}

// lose ends a node abruptly, as the loss of its VM does.
func (c *cluster) lose(id string) {
	c.fabric.mu.Lock()
	delete(c.fabric.nodes, id)
	c.fabric.mu.Unlock()
	l := c.ledgers[id]
	l.mu.Lock()
	l.open = false
	l.mu.Unlock()
	l.stop()
	l.tasks.Wait()
}

// close unfreezes and closes the nodes that still run.
func (c *cluster) close() {
	c.fabric.mu.Lock()
	for _, thaw := range c.fabric.frozen {
		close(thaw)
	}
	clear(c.fabric.frozen)
	c.fabric.mu.Unlock()
	for _, l := range c.ledgers {
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
		_ = l.Close(ctx)
		cancel()
	}
	time.Sleep(maxAppend + time.Second) // until abandoned hedged calls have ended
}

func (c *cluster) setFaults(change fault.Change) {
	if err := c.platform.SetFaults(change); err != nil {
		c.t.Fatal(err)
	}
}

// storeDown takes the table and the object store down, or brings them back.
func (c *cluster) storeDown(down bool) {
	c.setFaults(fault.Change{Table: &fault.Fault{Down: down}, Objects: &fault.Fault{Down: down}})
}

// allBills lists all bills, without duplicates, through a node.
func (c *cluster) allBills(id string) []Bill {
	q := BillQuery{From: time.Now().Add(-48 * time.Hour), To: time.Now().Add(time.Hour)}
	var all []Bill
	for {
		page, err := c.ledgers[id].Bills(context.Background(), q)
		if err != nil {
			c.t.Fatal(err)
		}
		all = append(all, page.Bills...)
		if page.Next == "" {
			return all
		}
		q.Cursor = page.Next
	}
}

// unconditional is a table that ignores the conditions of transactions.
type unconditional struct{ platform.Table }

// Commit implements platform.Table.
func (u unconditional) Commit(ctx context.Context, txn platform.Txn) (platform.CommitResult, error) {
	txn.Conditions = nil
	return u.Table.Commit(ctx, txn)
}

func inBubble(t *testing.T, n int, do func(is *is.I, c *cluster)) { bubble(t, n, false, do) }

func bubble(t *testing.T, n int, broken bool, do func(is *is.I, c *cluster)) {
	defer singleProcessor()()
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, n, broken)
		defer c.close()
		do(is.New(t), c)
	})
}

// newKey returns a UUIDv7 with the bubble's time. The uuid package cannot be used: its
// times never go back, but each bubble begins at the same time.
func newKey() string { return keyAt(time.Now()) }

func keyAt(at time.Time) string {
	u := uuid.New()
	for i := range 6 {
		u[i] = byte(at.UnixMilli() >> (8 * (5 - i)))
	}
	u[6] = 0x70 | u[6]&0x0f
	return u.String()
}

func claimIn(l *Ledger, d time.Duration, r ClaimRequest) (ClaimResult, error) {
	ctx, cancel := context.WithTimeout(context.Background(), d)
	defer cancel()
	return l.Claim(ctx, r)
}

func settleIn(l *Ledger, d time.Duration, s Settlement) (Safety, error) {
	ctx, cancel := context.WithTimeout(context.Background(), d)
	defer cancel()
	return l.Settle(ctx, s)
}

func releaseIn(l *Ledger, d time.Duration, r ReleaseRequest) error {
	ctx, cancel := context.WithTimeout(context.Background(), d)
	defer cancel()
	return l.Release(ctx, r)
}

func billIn(l *Ledger, d time.Duration, b Bill) (Safety, error) {
	ctx, cancel := context.WithTimeout(context.Background(), d)
	defer cancel()
	return l.Bill(ctx, b)
}

// cutTable is a table whose writes hang while its node is cut off from the platform.
type cutTable struct {
	platform.Table
	cut *atomic.Bool
}

// Commit implements platform.Table.
func (t cutTable) Commit(ctx context.Context, txn platform.Txn) (platform.CommitResult, error) {
	if t.cut.Load() {
		<-ctx.Done()
		return platform.CommitResult{}, ctx.Err()
	}
	return t.Table.Commit(ctx, txn)
}

// cutObjects is an object store whose writes hang while its node is cut off from the platform.
type cutObjects struct {
	platform.Objects
	cut *atomic.Bool
}

// Put implements platform.Objects.
func (o cutObjects) Put(ctx context.Context, key string, value []byte) error {
	if o.cut.Load() {
		<-ctx.Done()
		return ctx.Err()
	}
	return o.Objects.Put(ctx, key, value)
}
