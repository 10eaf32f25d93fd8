package node

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/rotisserie/eris"

	"github.com/hickorybank/hickorybank/internal/admin"
	"github.com/hickorybank/hickorybank/internal/api"
	"github.com/hickorybank/hickorybank/internal/config"
	"github.com/hickorybank/hickorybank/internal/event"
	"github.com/hickorybank/hickorybank/internal/platform"
	"github.com/hickorybank/hickorybank/internal/upstream"
)

const (
	readHeaderTimeout = 5 * time.Second
	idleTimeout       = 60 * time.Second
	pollGap           = 500 * time.Millisecond
	pollTimeout       = 2 * time.Second
)

// Deps are what a node reaches the outside with.
type Deps struct {
	Platform platform.Platform
	Engines  upstream.Engines
	Services upstream.Services
	Log      *slog.Logger
}

// Node is one entry node.
type Node struct {
	settings Settings
	deps     Deps
	store    *admin.Store
	snapshot atomic.Pointer[config.Snapshot]
	vms      atomic.Pointer[[]platform.VM]
	turn     atomic.Uint64

	listener net.Listener
	server   *http.Server
	duties   *conc.WaitGroup
	stop     context.CancelFunc
}

// New returns a node that is not yet started.
func New(s Settings, d Deps) *Node {
	n := &Node{settings: s, deps: d, store: admin.NewStore(d.Platform), duties: conc.NewWaitGroup()}
	n.vms.Store(new([]platform.VM))
	return n
}

// Start listens and begins the node's duties.
func (n *Node) Start() error {
	listener, err := net.Listen("tcp", n.settings.Listen)
	if err != nil {
		return eris.Wrap(err, "listen for callers")
	}
	ctx, cancel := context.WithCancel(context.Background())
	n.stop = cancel
	n.listener = listener
	n.server = &http.Server{Handler: api.New(n), ReadHeaderTimeout: readHeaderTimeout, IdleTimeout: idleTimeout}
	n.duties.Go(func() { _ = n.server.Serve(listener) }) // returns when closed
	n.duties.Go(func() { n.poll(ctx) })
	event.ProcessReady.Log(n.deps.Log, slog.String("id", n.settings.ID), slog.String("addr", n.Addr()))
	return nil
}

// Addr is the address that callers reach the node at.
func (n *Node) Addr() string { return n.listener.Addr().String() }

// Close finishes what runs and stops the duties.
func (n *Node) Close(ctx context.Context) error {
	err := n.server.Shutdown(ctx)
	n.stop()
	n.duties.Wait()
	return err
}

// Snapshot returns the configuration in force here.
func (n *Node) Snapshot() *config.Snapshot { return n.snapshot.Load() }

func (n *Node) poll(ctx context.Context) {
	ticker := time.NewTicker(pollGap)
	defer ticker.Stop()
	for {
		n.pollOnce(ctx)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (n *Node) pollOnce(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	if list, err := n.deps.Platform.VMs().List(ctx); err == nil {
		n.vms.Store(&list)
	}
	head, err := n.store.Load(ctx)
	if err != nil || head == nil {
		return
	}
	if old := n.snapshot.Load(); old != nil && old.Revision >= head.Revision {
		return
	}
	n.snapshot.Store(head)
}
