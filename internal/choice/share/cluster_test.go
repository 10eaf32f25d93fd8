package share

import (
	"bytes"
	"context"
	"encoding/gob"
	"fmt"
	"log/slog"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/hickorybank/hickorybank/internal/choice"
	"github.com/hickorybank/hickorybank/internal/choice/exposure"
	"github.com/hickorybank/hickorybank/internal/config"
	"github.com/hickorybank/hickorybank/internal/example"
	"github.com/hickorybank/hickorybank/internal/peer"
	"github.com/hickorybank/hickorybank/internal/platform"
	"github.com/hickorybank/hickorybank/internal/standin/platform/memory"
)

// cluster is a set of nodes that share one platform, within one synctest bubble.
type cluster struct {
	t        *testing.T
	platform *memory.Platform
	snapshot *config.Snapshot
	members  []platform.VM
	epoch    uint64

	mu    sync.Mutex
	nodes map[string]*node // by peer address
}

type node struct {
	share   *Share
	chooser *choice.Chooser
}

func newCluster(t *testing.T, n int) *cluster {
	doc, err := example.Load("tarifas")
	is.New(t).NoErr(err)
	snapshot, err := config.Compile(1, doc)
	is.New(t).NoErr(err)
	c := &cluster{t: t, platform: memory.New(), snapshot: snapshot, nodes: map[string]*node{}}
	for i := range n {
		id := fmt.Sprintf("e%d", i)
		c.members = append(c.members, platform.VM{ID: id, Role: platform.RoleEntry, Peer: id, FailureDomain: fmt.Sprintf("d%d", i%4), State: platform.Live})
	}
	return c
}

// start starts a node whose membership list is members.
func (c *cluster) start(self platform.VM, members []platform.VM) *node {
	c.epoch++
	chooser := choice.New(choice.Settings{Node: self.ID, Epoch: c.epoch})
	n := &node{chooser: chooser, share: New(Deps{
		Chooser: chooser, Table: c.platform, Peers: c, Self: self, Log: slog.New(slog.DiscardHandler),
		Members:  func() []platform.VM { return members },
		Snapshot: func() *config.Snapshot { return c.snapshot },
	})}
	n.choose(c, 0) // applies the configuration
	c.mu.Lock()
	c.nodes[self.Peer] = n
	c.mu.Unlock()
	is.New(c.t).NoErr(n.share.Start())
	return n
}

func (c *cluster) startAll() []*node {
	var list []*node
	for _, vm := range c.members {
		list = append(list, c.start(vm, c.members))
	}
	return list
}

func (c *cluster) stop(n *node) {
	c.mu.Lock()
	for addr, other := range c.nodes {
		if other == n {
			delete(c.nodes, addr)
		}
	}
	c.mu.Unlock()
	n.share.Close()
}

func (c *cluster) stopAll() {
	c.mu.Lock()
	var list []*node
	for _, n := range c.nodes {
		list = append(list, n)
	}
	c.mu.Unlock()
	for _, n := range list {
		c.stop(n)
	}
}

// Call implements [peer.Caller].
func (c *cluster) Call(_ context.Context, addr, method string, args, reply any) error {
	c.mu.Lock()
	n := c.nodes[addr]
	c.mu.Unlock()
	if n == nil {
		return peer.ErrNotSent
	}
	s := &service{share: n.share}
	switch method {
	case methodReport:
		return callOverGob(s.Report, args, reply, new(choice.Pool))
	case methodGrant:
		return callOverGob(s.Grant, args, reply, new(exposure.Grant))
	default:
		return callOverGob(s.Hold, args, reply, new(struct{}))
	}
}

// callOverGob encodes arguments and reply with gob, as net/rpc does.
func callOverGob[A, R any](method func(*A, *R) error, args, reply any, got *R) error {
	var sent A
	if err := gobCopy(args, &sent); err != nil {
		return err
	}
	if err := method(&sent, got); err != nil {
		return err
	}
	return gobCopy(got, reply)
}

func gobCopy(from, to any) error {
	var buf bytes.Buffer
	if err := gob.NewEncoder(&buf).Encode(from); err != nil {
		return err
	}
	return gob.NewDecoder(&buf).Decode(to)
}

// choose plans a request of class draft for the first organisation.
func (n *node) choose(c *cluster, random uint64) choice.Plan {
	org := &c.snapshot.Doc.Organisations[0]
	return n.chooser.Choose(choice.Request{
		Snapshot: c.snapshot, Org: org, Class: c.snapshot.Class("draft"), Versions: []string{"dues@1", "dues@2", "dues@3"},
		Now: time.Now(), Slack: time.Minute, Random: random,
	})
}

// rate adds count ratings of a version to the node's observations.
func (n *node) rate(version string, score float64, count int) {
	for range count {
		n.chooser.Observe(choice.Observation{Version: version, Class: "draft", Score: score, Now: time.Now()})
	}
}

func (n *node) held(version string) bool {
	for _, h := range n.chooser.Holds() {
		if h.Version == version {
			return !h.Lifted
		}
	}
	return false
}

// weight returns the weight of the ratings of a version in the node's cells.
func (n *node) weight(version string) float64 {
	for _, entry := range n.chooser.Archive(version, time.Now()) {
		return entry.Cell.Long.Weight
	}
	return 0
}
