package node

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"github.com/hickorybank/hickorybank/internal/admin"
	"github.com/hickorybank/hickorybank/internal/api"
	"github.com/hickorybank/hickorybank/internal/choice"
	"github.com/hickorybank/hickorybank/internal/choice/share"
	"github.com/hickorybank/hickorybank/internal/config"
	"github.com/hickorybank/hickorybank/internal/confsync"
	"github.com/hickorybank/hickorybank/internal/confsync/tablestore"
	"github.com/hickorybank/hickorybank/internal/duty"
	"github.com/hickorybank/hickorybank/internal/event"
	"github.com/hickorybank/hickorybank/internal/intake"
	"github.com/hickorybank/hickorybank/internal/ledger"
	"github.com/hickorybank/hickorybank/internal/membership"
	"github.com/hickorybank/hickorybank/internal/peer"
	"github.com/hickorybank/hickorybank/internal/platform"
	"github.com/hickorybank/hickorybank/internal/relay"
	"github.com/hickorybank/hickorybank/internal/rollout"
	"github.com/hickorybank/hickorybank/internal/seal"
	"github.com/hickorybank/hickorybank/internal/session"
	"github.com/hickorybank/hickorybank/internal/telemetry"
)

const (
	readHeaderTimeout = 5 * time.Second
	// maxHeaderBytes bounds a request's header.
	maxHeaderBytes = 64 << 10
	idleTimeout    = 60 * time.Second
)

// Node is one entry node.
type Node struct {
	settings Settings
	deps     Deps
	self     platform.VM

	pool *peer.Pool
	// syncPool serves configuration calls only. Their long polls time out by design, which
	// closes the connection for every other call on it.
	syncPool *peer.Pool
	peers    *peer.Server
	// carrier opens connections to upstreams for peers; nil if the node has no Links.
	carrier   *relay.Carrier
	members   *membership.Tracker
	sync      *confsync.Syncer
	ledger    *ledger.Ledger
	chooser   *choice.Chooser
	share     *share.Share
	rollouts  *rollout.Driver
	upstreams *upstreams
	gate      *gate
	limits    *limits
	suspects  *suspects
	crashes   *crashParts
	recorder  *crashRecord
	raters    *raters
	sealer    *seal.Sealer
	sessions  *session.Signer
	store     *admin.Store
	metrics   *telemetry.Set

	operatorKeys  admin.Keys
	adminListener net.Listener
	adminServer   *http.Server

	running        atomic.Int64
	retryBudgetLog logLimiter
	failures       failureLog
	stopping       *stopping

	callers *callerServer
	duties  *duty.Group
	stop    context.CancelFunc
}

// New returns a node that is not yet started. It returns an error when the session keys or
// the operators' key hashes are invalid.
func New(s Settings, d Deps) (*Node, error) {
	sealer, err := seal.New(s.SessionKeys...)
	if err != nil {
		return nil, err
	}
	keys, err := admin.ParseKeys(s.OperatorKeyHashes)
	if err != nil {
		return nil, err
	}
	n := &Node{
		settings:     s,
		deps:         d,
		sealer:       sealer,
		sessions:     session.NewSigner(sealer),
		operatorKeys: keys,
		store:        admin.NewStore(d.Platform),
		metrics:      telemetry.New(telemetry.Bounds{}),
		duties:       new(duty.Group),
		pool:         peer.NewPoolFrom(s.Source, s.TLS.PeerClient),
		syncPool:     peer.NewPoolFrom(s.Source, s.TLS.PeerClient),
		peers:        peer.NewSecureServer(s.TLS.PeerServer),
	}
	if d.Links != nil {
		n.carrier = d.Links.attach(n)
		n.peers.Carry(n.carrier)
	}
	return n, nil
}

// Start opens the listeners, joins the other nodes and begins to serve. The error is that of
// the first listener or component that failed to start.
func (n *Node) Start() error {
	if err := n.listen(); err != nil {
		return err
	}
	n.build()
	n.buildVersions()
	if err := n.register(); err != nil {
		return err
	}
	if err := n.startComponents(); err != nil {
		return err
	}
	n.serve()
	event.ProcessReady.Log(n.deps.Log, slog.String("id", n.settings.ID), slog.String("addr", n.Addr()))
	return nil
}

func (n *Node) listen() error {
	listener, err := net.Listen("tcp", n.settings.Listen)
	if err != nil {
		return eris.Wrapf(err, "listen for callers on %s", n.settings.Listen)
	}
	account, recorder := intake.NewRequestAccount(n.settings.MemoryMB), intake.NewRecorder(n.deps.Log, n.metrics)
	account.OnEvicted(recorder.Evicted)
	bounds := intake.NewConnectionBounds(n.settings.MemoryMB, n.settings.MaxFDs)
	n.callers = newBoundedCallerServer(listener, n.settings.TLS.Callers, intake.Settings{Name: "callers", MaxConnections: bounds.Callers, Account: account, Observer: recorder})
	if err := n.listenOperators(intake.Settings{Name: "operators", MaxConnections: bounds.Side, Account: account, Observer: recorder}); err != nil {
		_ = listener.Close()
		return err
	}
	n.peers.Bound(bounds.Peers, intake.NewMessageAccount(n.settings.MemoryMB), recorder)
	if err := n.peers.Listen(n.settings.PeerListen); err != nil {
		_ = listener.Close()
		return err
	}
	n.self = platform.VM{
		ID: n.settings.ID, Role: platform.RoleEntry, Addr: listener.Addr().String(), Peer: n.peers.Addr(),
		FailureDomain: n.settings.FailureDomain, State: platform.Live,
	}
	return nil
}

func (n *Node) build() {
	log := n.deps.Log
	n.upstreams = newUpstreams(n)
	n.gate = newGate(n.settings)
	n.limits = newLimits(n)
	n.suspects = newSuspects(n)
	n.crashes = newCrashParts(n)
	n.recorder = newCrashRecord(n)
	n.raters = newRaters(n)
	n.chooser = choice.New(choice.Settings{Node: n.settings.ID, Epoch: uint64(time.Now().UnixNano())})
	n.members = membership.New(
		membership.Settings{AnswerTTL: n.settings.AddressTTL},
		membership.Deps{Self: n.self, Log: log, OnChange: n.viewChanged},
	)
	n.stopping = newStopping(n)
	n.sync = confsync.New(
		confsync.Settings{Seeds: n.settings.Seeds, Seed: n.settings.Seed},
		confsync.Deps{
			Store: tablestore.New(n.deps.Platform), Lists: n.deps.Platform.VMs(),
			Peers: membership.NewObservedCaller(n.syncPool, n.members), Members: n.entries, Self: n.self, Log: log,
			OnApply:   n.applied,
			OnList:    func(l confsync.List) { n.members.SetList(l.VMs, l.ReadAt) },
			OnLeaving: n.members.MarkLeaving,
			OnServing: n.members.MarkServing,
		},
	)
	n.ledger = ledger.New(ledger.DefaultSettings(), ledger.Deps{
		Table: n.deps.Platform, Objects: n.deps.Platform.Objects(), Peers: n.pool, Members: n.entries, Self: n.self, Log: log,
	})
}

// buildVersions builds the components for version selection and rollouts.
func (n *Node) buildVersions() {
	n.share = share.New(share.Deps{
		Chooser: n.chooser, Table: n.deps.Platform, Peers: n.pool, Members: n.entries, Self: n.self,
		Snapshot: n.sync.Snapshot, Log: n.deps.Log,
	})
	n.rollouts = rollout.New(rollout.Settings{}, rollout.Deps{
		Table: n.deps.Platform, Engines: n.deps.Engines, View: n.members.View, Snapshot: n.sync.Current,
		InForce: n.inForce, Self: n.self, Members: n.entries, Log: n.deps.Log,
	})
}

func (n *Node) inForce(ctx context.Context, revision uint64) (bool, error) {
	c, err := n.sync.Confirmations(ctx, revision)
	return c.InForce, err
}

func (n *Node) register() error {
	if err := n.sync.Register(n.peers); err != nil {
		return err
	}
	if err := n.ledger.Register(n.peers); err != nil {
		return err
	}
	if err := n.share.Register(n.peers); err != nil {
		return err
	}
	if err := n.peers.Register(limitService, &limitReceiver{limits: n.limits}); err != nil {
		return err
	}
	if err := n.peers.Register(crashService, &crashReceiver{n.crashes}); err != nil {
		return err
	}
	return n.peers.Register(suspectService, n.suspects.receiver())
}

func (n *Node) startComponents() error {
	n.peers.Serve()
	if err := n.sync.Start(); err != nil {
		return err
	}
	if err := n.ledger.Start(); err != nil {
		return err
	}
	if err := n.share.Start(); err != nil {
		return err
	}
	return n.rollouts.Start()
}

func (n *Node) serve() {
	ctx, cancel := context.WithCancel(context.Background())
	n.stop = cancel
	handler := n.stopping.closing(api.New(n))
	n.duties.Go(func() { n.callers.serve(handler) })
	n.registerGauges()
	n.serveOperators()
	n.duties.Go(func() { n.upstreams.poll(ctx) })
	if n.deps.Links != nil {
		n.duties.Go(func() { n.deps.Links.run(ctx) })
	}
	n.duties.Go(func() { n.gate.expireQueued(ctx) })
	n.duties.Go(func() { n.suspects.run(ctx) })
	n.duties.Go(func() { n.crashes.run(ctx) })
	n.duties.Go(func() { n.recorder.run(ctx) })
	n.duties.Go(func() { n.limits.run(ctx) })
	for range raterWorkers {
		n.duties.Go(func() { n.raters.run(ctx) })
	}
}

// VM returns this node's entry for the platform's VM list.
func (n *Node) VM() platform.VM { return n.self }

// Addr returns the address of the listener for callers, as IP and port.
func (n *Node) Addr() string { return n.self.Addr }

// Snapshot returns the configuration in force at this node, or nil before the first one.
func (n *Node) Snapshot() *config.Snapshot { return n.sync.Snapshot() }

// entries returns the entry VMs that this node knows.
func (n *Node) entries() []platform.VM { return n.members.View().EntryVMs() }

// viewChanged is called with each new membership view.
func (n *Node) viewChanged(v *membership.View) {
	n.upstreams.setView(v)
	n.suspects.setPeers(v)
	n.crashes.setPeers(v)
	ids, domain := liveEntries(v, n.self.FailureDomain)
	n.gate.setNodes(ids, domain)
	n.limits.setNodes(ids)
}

// applied is called with each configuration that comes into force at this node.
func (n *Node) applied(s *config.Snapshot) {
	limits := rateLimits(s)
	n.gate.setSnapshot(s, limits)
	n.limits.setLimits(limits)
}
