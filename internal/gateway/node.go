package gateway

import (
	"log/slog"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/hickorybank/hickorybank/internal/admission"
	"github.com/hickorybank/hickorybank/internal/archive"
	"github.com/hickorybank/hickorybank/internal/canary"
	"github.com/hickorybank/hickorybank/internal/cascade"
	"github.com/hickorybank/hickorybank/internal/crashguard"
	"github.com/hickorybank/hickorybank/internal/evacuation"
	"github.com/hickorybank/hickorybank/internal/exchange"
	"github.com/hickorybank/hickorybank/internal/fleet"
	"github.com/hickorybank/hickorybank/internal/gossip"
	"github.com/hickorybank/hickorybank/internal/network"
	"github.com/hickorybank/hickorybank/internal/route"
	"github.com/hickorybank/hickorybank/internal/telemetry"
	"github.com/hickorybank/hickorybank/internal/transfer"
)

// Node is one running gateway.
type Node struct {
	settings Settings
	dialect  Dialect
	source   Source
	log      *slog.Logger
	metrics  *telemetry.Set
	pool     *exchange.Pool
	network  network.Network
	peers    *gossip.Client
	// contents are connections to peers apart from those of the news, which would
	// wait behind what is large.
	contents *gossip.Client
	sender   *transfer.Sender
	// newer asks the duty that brings in configurations to look for one.
	newer chan struct{}
	// applying has one place, for who reads a configuration and puts it in force.
	applying chan struct{}
	policy   *cascade.Policy
	dropped  func() int64
	born     int64

	config atomic.Pointer[configuration]
	// heardVersion is the newest version of the configuration that peers have.
	heardVersion atomic.Int64
	stopping     atomic.Bool
	stopped      chan struct{}
	// active counts callers' requests under way, bodies the bytes they hold.
	active atomic.Int64
	bodies atomic.Int64

	// mu guards the cores below.
	mu          sync.Mutex
	fleet       *fleet.Fleet
	canary      *canary.Canary
	guard       *crashguard.Guard
	roster      *gossip.Roster
	flights     *gossip.FlightSums
	evacuations *evacuation.Orders
	senders     senderSet
	budgets     map[string]*admission.WindowBudget
	list        fleetState
	// held are versions that nobody has ordered, and when they were first
	// listed; known are those that may serve; served is when a service's first
	// upstream was listed.
	held    map[string]time.Time
	known   map[string]bool
	served  map[string]time.Time
	sources sourceState
	// began is when the node started; asked is set when a peer has answered it or could not
	// be reached since, informed is when one that knows what the table holds first did.
	began, informed time.Time
	asked           bool
	// leaderSince is when this node began to lead its group; zero while it does not.
	leaderSince time.Time
	// readAt is when this node last read the table, fedAt when it last told
	// others beside a reading.
	readAt, fedAt time.Time
	orders        []gossip.Order
	// started is when the newest roll-out of a service began, announced the
	// newest revision that is recorded as under way.
	started   map[string]time.Time
	announced map[string]uint64
	// heard is when a verdict that another node made was first known here.
	heard map[turnKey]time.Time
	// recorded are the members that the table listed when this node joined.
	recorded []gossip.Member
	// told is what peers told last of what they have.
	told     map[string]told
	contacts contacts
	// unsoundAt is when a field of an upstream's answers was last logged as unsound,
	// noticeLabels are the upstreams that are told apart in metrics.
	unsoundAt    map[string]time.Time
	noticeLabels map[string]bool
	// noticesSwept is when upstreams that are gone were last forgotten, noticesTold when
	// other nodes were last told at once of an upstream's notice.
	noticesSwept, noticesTold time.Time
	// readElsewhere tells the duty that follows the table of readings by others.
	readElsewhere chan struct{}
	// urgent asks the duty that tells other nodes of roll-outs to do so at once.
	urgent chan struct{}
}

// configuration is the one in force, as it was read and as it is used.
type configuration struct {
	*route.Table
	doc *archive.Archive
}

// fleetState is what the node knows of the table.
type fleetState struct {
	// revision and orders are the revisions of the upstreams' list and of the
	// operators' changes that the node has taken.
	revision, orders uint64
	// readOrders is the table's revision at this node's own latest reading of
	// operators' changes.
	readOrders uint64
	// provenAt is when the latest reading of the list began that the node has taken,
	// its own or its reader's; ordersProvenAt is as of when operators' changes are
	// known, ordersPendingAt when a large one was last heard to be on its way to the
	// reader.
	provenAt, ordersProvenAt, ordersPendingAt time.Time
	// listClock and ordersClock are the table's own clock at these readings.
	listClock, ordersClock time.Duration
	// transfers is set while this node itself takes a large change from the table.
	transfers bool
	// returnedAt is when this node first heard of a reading after the table was away.
	returnedAt time.Time
	// awayAt is when this node, or who reads for it, last could not read the table.
	awayAt time.Time
	// awaited is a proof of operators' changes whose configuration is on its way,
	// awaitedNext the latest after it: with a change every moment, the latest alone
	// would never be met.
	awaited, awaitedNext ordersProof
	// steadySince is when the node's readings without a gap began, awayFrom
	// the last reading before that gap.
	steadySince, awayFrom time.Time
	// gone are upstreams that vanished while the table was away, and until
	// when they are kept.
	gone map[string]time.Time
}

// told is what a peer has of the configuration and of the upstreams' list.
type told struct {
	config    int64
	fleetHash uint64
}

// Deps are what a node works with.
type Deps struct {
	Dialect Dialect
	Source  Source
	Log     *slog.Logger
	Metrics *telemetry.Set
	// Network is where the node listens, and reaches its peers; nil for the
	// machine's own. Upstreams are always reached over that.
	Network network.Network
	// Dropped is how many log lines were dropped so far; nil where none are.
	Dropped func() int64
}

// New returns a node that is not yet running.
func New(s Settings, d Deps) *Node {
	began := time.Now()
	if d.Network == nil {
		d.Network = &network.OS{}
	}
	if d.Dropped == nil {
		d.Dropped = func() int64 { return 0 }
	}
	n := &Node{
		dropped:  d.Dropped,
		settings: s, dialect: d.Dialect, source: d.Source, log: d.Log, metrics: d.Metrics,
		pool:     exchange.NewPool(exchange.Settings{}),
		network:  d.Network,
		peers:    gossip.NewClient(d.Network),
		contents: gossip.NewClient(d.Network),
		sender:   transfer.NewSender(s.Link),
		newer:    make(chan struct{}, 1),
		applying: make(chan struct{}, 1),
		policy:   cascade.New(cascade.Settings{Accept: s.Accept, AcceptBusy: s.AcceptBusy}),
		born:     began.UnixNano(), began: began,
		stopped:     make(chan struct{}),
		fleet:       fleet.New(fleet.Settings{Domain: s.Domain, Regions: s.Regions, Origin: originOf(s.ID, began.UnixNano())}),
		canary:      canary.New(canary.Settings{ShareBound: s.ExposeShare, Slack: s.ExposeSlack, Session: s.Session, Lag: orderLag}, s.ID, began.UnixNano()),
		guard:       crashguard.New(),
		roster:      gossip.NewRoster(gossip.Member{ID: s.ID, Born: began.UnixNano(), Front: s.Front, Peer: s.Peer, Domain: s.Domain, Region: s.Region, Link: s.Link}),
		flights:     gossip.NewFlightSums(),
		evacuations: evacuation.New(),
		senders:     senderSet{seen: map[string]time.Time{}},
		budgets:     map[string]*admission.WindowBudget{},
		list:        fleetState{gone: map[string]time.Time{}},
		held:        map[string]time.Time{},
		known:       map[string]bool{}, served: map[string]time.Time{},
		started: map[string]time.Time{}, announced: map[string]uint64{},
		unsoundAt: map[string]time.Time{}, noticeLabels: map[string]bool{},
		told: map[string]told{}, contacts: contacts{}, heard: map[turnKey]time.Time{},
		urgent: make(chan struct{}, 1), readElsewhere: make(chan struct{}, 1),
	}
	d.Metrics.Gauge("hickorybank_config_version", func() float64 { return float64(n.configVersion()) })
	d.Metrics.Gauge("hickorybank_config_heard_version", func() float64 { return float64(max(n.heardVersion.Load(), n.configVersion())) })
	d.Metrics.Gauge("hickorybank_table_age_seconds", n.tableAge)
	d.Metrics.Gauge("hickorybank_evacuated_domains", n.evacuatedDomains)
	d.Metrics.Gauge("hickorybank_limited_upstreams", n.limitedUpstreams)
	d.Metrics.Gauge("hickorybank_leaving_upstreams", n.leavingUpstreams)
	d.Metrics.Gauge("hickorybank_resting_upstreams", n.restingUpstreams)
	return n
}

// originOf names a run of a node by a number.
func originOf(id string, born int64) uint64 {
	return xxhash.Sum64String(id + "@" + strconv.FormatInt(born, 10))
}

// tableAge is how many seconds ago the list was read that this node goes by; 0 before the
// first reading.
func (n *Node) tableAge() float64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.list.provenAt.IsZero() {
		return 0
	}
	return time.Since(n.list.provenAt).Seconds()
}

// configVersion is the version of the configuration in force; 0 for none.
func (n *Node) configVersion() int64 {
	if c := n.config.Load(); c != nil {
		return c.Version
	}
	return 0
}

// Ready tells whether the node can serve: it knows a configuration and the
// upstreams, and is not stopping.
func (n *Node) Ready() bool {
	if n.stopping.Load() || n.config.Load() == nil {
		return false
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.list.revision > 0
}

// Active is how many callers' requests are under way.
func (n *Node) Active() int64 { return n.active.Load() }

// ReadyHandler answers whether the node is ready.
func (n *Node) ReadyHandler() http.Handler {
	return telemetry.Readyz(func() []string {
		if n.Ready() {
			return nil
		}
		return []string{"not ready"}
	})
}

// budget returns the retry budget of a service; the caller holds mu.
//
// All nodes share one bound over a window: each spends its part of the ratio,
// of its own requests, and an equal part of the slack, without a call.
func (n *Node) budget(service string, now time.Time) *admission.WindowBudget {
	slack := n.settings.RetrySlack * retryPart / float64(max(len(n.roster.Alive()), 1))
	b := n.budgets[service]
	if b == nil {
		b = admission.NewWindowBudget(admission.WindowSettings{
			Ratio:  n.settings.RetryRatio * retryPart,
			Window: n.settings.RetryWindow,
		})
		n.budgets[service] = b
	}
	b.SetSlack(slack)
	return b
}

// retryPart is the part of the retry bound that is used: requests near a
// window's edge count in one window at their node and in another at upstreams,
// and a node that restarts does not know what it spent before.
const retryPart = 0.92
