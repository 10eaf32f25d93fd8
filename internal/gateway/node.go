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
	"github.com/hickorybank/hickorybank/internal/intake"
	"github.com/hickorybank/hickorybank/internal/network"
	"github.com/hickorybank/hickorybank/internal/revision"
	"github.com/hickorybank/hickorybank/internal/route"
	"github.com/hickorybank/hickorybank/internal/streamwatch"
	"github.com/hickorybank/hickorybank/internal/telemetry"
	"github.com/hickorybank/hickorybank/internal/transfer"
)

// Node is a running gateway. Create it with [New].
type Node struct {
	settings     Settings
	dialect      Dialect
	source       Source
	log          *slog.Logger
	metrics      *telemetry.Set
	pool         *exchange.Pool
	links        *links
	network      network.Network
	gossipClient *gossip.Client
	// transferClient has its own connections to peers: gossip would queue behind large
	// transfers.
	transferClient *gossip.Client
	configSender   *transfer.Sender
	// newerConfig wakes followConfig.
	newerConfig chan struct{}
	listSender  *transfer.Sender
	// listDocument describes the list that listSender sends.
	listDocument listDocument
	// listOffered wakes followList.
	listOffered chan struct{}
	// applying is a semaphore of one place for reading and activating a configuration.
	applying        chan struct{}
	cascadePolicy   *cascade.Policy
	droppedLogLines func() int64
	incarnation     int64

	config atomic.Pointer[configuration]
	// newestPeerVersion is the newest version of the configuration that any peer has.
	newestPeerVersion atomic.Int64
	// rejectedVersion is the latest version of a peer that this node could not read.
	rejectedVersion atomic.Int64
	stopBound       *stopBound
	// active counts callers' requests in progress.
	active atomic.Int64
	memory *intake.Account
	// intakeRecorder counts and logs the bounds that clients meet.
	intakeRecorder *intake.Recorder
	// streams knows when upstreams last sent an event.
	streams *streamwatch.Registry

	// speedsLoggedAt is when upstreams' speeds were last logged; only followFlights uses it.
	speedsLoggedAt time.Time

	// mu guards the fields below.
	mu         sync.Mutex
	fleet      *fleet.Fleet
	canary     *canary.Canary
	crashGuard *crashguard.Guard
	// leftUpstreams are the upstreams at which this node has left attempts.
	leftUpstreams map[crashguard.CrashID]leftUpstream
	crashRecord   crashRecord
	tableClock    tableClock
	roster        *gossip.Roster
	flights       *gossip.FlightSums
	speeds        *gossip.SpeedSums
	// ownSpeeds are this node's part of the speeds that were last exchanged.
	ownSpeeds   fleet.Speeds
	evacuations *evacuation.Orders
	senders     senderSet
	budgets     map[string]*admission.WindowBudget
	view        tableView
	// heldVersions are versions that no order names, with the time when they were first
	// listed; allowedVersions are those that may serve. firstListedAt is when a service's
	// first upstream was listed. Both maps of versions are keyed by versionKey.
	heldVersions    map[string]time.Time
	allowedVersions map[string]bool
	firstListedAt   map[string]time.Time
	sourceHealth    sourceHealth
	// startedAt is when the node started. informedAt is when a peer that knows what the
	// table holds first answered.
	startedAt, informedAt time.Time
	// leaderSince is when this node began to lead its group; zero while it does not.
	leaderSince time.Time
	// lastReadAt is when this node last read the table, lastPushAt when it last pushed to
	// others apart from a reading.
	lastReadAt, lastPushAt time.Time
	rollouts               []gossip.Order
	// rolloutStartedAt is when the newest rollout of a service began, announcedRevision its
	// newest revision that is recorded as under way.
	rolloutStartedAt  map[string]time.Time
	announcedRevision map[string]revision.Revision
	// verdictSeenAt is when a verdict of another node was first known here.
	verdictSeenAt map[verdictKey]time.Time
	// recordedMembers are the members that the table listed when this node joined.
	recordedMembers []gossip.Member
	// peerStates is what peers last reported to have, by peer ID.
	peerStates map[string]peerState
	contacts   contacts
	draws      *draws
	listOffers listOffers
	// entryQueues hold the requests of each service before their first attempts.
	entryQueues map[queueKey]*serviceQueue
	// invalidFieldLoggedAt is when an invalid field of an upstream's responses was last logged.
	// noticeLabels are the upstreams with their own label in metrics.
	invalidFieldLoggedAt map[string]time.Time
	noticeLabels         map[string]bool
	// noticesSweptAt is when notices of upstreams that are gone were last removed,
	// noticesPushedAt when an upstream's notice was last pushed to other nodes.
	noticesSweptAt, noticesPushedAt time.Time
	// remoteReading wakes followTable when another node's reading has become known,
	// readingDue when this node's own may be due earlier.
	remoteReading, readingDue chan struct{}
	// pushRequested wakes pushRollouts.
	pushRequested chan struct{}
	// crashNews wakes followCrashes.
	crashNews chan struct{}
	// crashRecordNews wakes followCrashRecord.
	crashRecordNews chan struct{}
	// recordingCrashes is a semaphore of one place for writing the record of crashes.
	recordingCrashes chan struct{}
	// leftAttempts wakes followLeftAttempts.
	leftAttempts chan struct{}
	// rolloutOrdered is closed once this node knows a rollout.
	rolloutOrdered chan struct{}
}

// configuration is an active configuration, decoded and as transferred to peers.
type configuration struct {
	*route.Table
	archive *archive.Archive
}

// peerState is a peer's version of the configuration, and its list of upstreams by its hash
// and the table's revision.
type peerState struct {
	configVersion int64
	fleetHash     uint64
	fleetRevision revision.Revision
}

// Deps are the dependencies of a node.
type Deps struct {
	Dialect Dialect
	Source  Source
	Log     *slog.Logger
	Metrics *telemetry.Set
	// Network is where the node listens and reaches its peers; nil for the operating
	// system's.
	Network network.Network
	// Upstreams opens this node's own connections to upstreams; nil for the operating
	// system's network.
	Upstreams exchange.Dialer
	// DroppedLogLines returns how many log lines have been dropped; nil if none ever are.
	DroppedLogLines func() int64
}

// New returns a node that is not running yet; call [Node.Run] to run it.
func New(s Settings, d Deps) *Node {
	began := time.Now()
	if d.Network == nil {
		d.Network = &network.OS{}
	}
	if d.DroppedLogLines == nil {
		d.DroppedLogLines = func() int64 { return 0 }
	}
	n := &Node{
		droppedLogLines: d.DroppedLogLines,
		settings:        s, dialect: d.Dialect, source: d.Source, log: d.Log, metrics: d.Metrics,
		network:        d.Network,
		gossipClient:   gossip.NewClient(d.Network),
		transferClient: gossip.NewClient(d.Network),
		configSender:   transfer.NewSender(s.Link),
		newerConfig:    make(chan struct{}, 1),
		listSender:     transfer.NewSender(s.Link),
		listOffered:    make(chan struct{}, 1),
		applying:       make(chan struct{}, 1),
		cascadePolicy:  cascade.New(cascade.Settings{Accept: s.Accept, AcceptBusy: s.AcceptBusy, AcceptFull: s.AcceptFull}),
		streams:        streamwatch.New(),
		incarnation:    began.UnixNano(), startedAt: began,
		stopBound:       newStopBound(),
		memory:          intake.NewRequestAccount(s.MemoryMB),
		intakeRecorder:  intake.NewRecorder(d.Log, d.Metrics),
		fleet:           fleet.New(fleet.Settings{Domain: s.Domain, Regions: s.Regions, Origin: originOf(s.ID, began.UnixNano())}),
		canary:          canary.New(canary.Settings{ShareBound: s.ExposeShare, Slack: s.ExposeSlack, Session: s.Session, Lag: orderLag}, s.ID, began.UnixNano()),
		crashGuard:      crashguard.New(),
		leftUpstreams:   map[crashguard.CrashID]leftUpstream{},
		roster:          gossip.NewRoster(gossip.Member{ID: s.ID, Born: began.UnixNano(), Front: s.Front, Peer: s.Peer, Domain: s.Domain, Region: s.Region, Link: s.Link}),
		flights:         gossip.NewFlightSums(),
		speeds:          gossip.NewSpeedSums(),
		evacuations:     evacuation.New(),
		senders:         senderSet{lastSeen: map[string]time.Time{}},
		budgets:         map[string]*admission.WindowBudget{},
		view:            tableView{retained: map[string]time.Time{}},
		heldVersions:    map[string]time.Time{},
		allowedVersions: map[string]bool{}, firstListedAt: map[string]time.Time{},
		entryQueues: map[queueKey]*serviceQueue{}, rolloutStartedAt: map[string]time.Time{}, announcedRevision: map[string]revision.Revision{},
		invalidFieldLoggedAt: map[string]time.Time{}, noticeLabels: map[string]bool{},
		peerStates: map[string]peerState{}, contacts: contacts{}, draws: newDraws(s.Seed), verdictSeenAt: map[verdictKey]time.Time{},
		crashNews:       make(chan struct{}, 1),
		crashRecordNews: make(chan struct{}, 1), recordingCrashes: make(chan struct{}, 1),
		leftAttempts:   make(chan struct{}, 1),
		rolloutOrdered: make(chan struct{}),
		pushRequested:  make(chan struct{}, 1), remoteReading: make(chan struct{}, 1), readingDue: make(chan struct{}, 1),
	}
	n.links, n.pool = newLinks(n, d.Upstreams)
	n.memory.OnEvicted(n.intakeRecorder.Evicted)
	n.configSender.Seed(n.draws.Uint64())
	n.listSender.Seed(n.draws.Uint64())
	d.Metrics.Gauge("hickorybank_config_version", func() float64 { return float64(n.configVersion()) })
	d.Metrics.Gauge("hickorybank_config_heard_version", func() float64 { return float64(max(n.newestPeerVersion.Load(), n.configVersion())) })
	d.Metrics.Gauge("hickorybank_table_age_seconds", n.tableAge)
	d.Metrics.Gauge("hickorybank_orders_age_seconds", n.ordersAge)
	d.Metrics.Gauge("hickorybank_table_reading_due_seconds", n.timeToReading)
	d.Metrics.Gauge("hickorybank_evacuated_domains", n.evacuatedDomains)
	d.Metrics.Gauge("hickorybank_limited_upstreams", n.limitedUpstreams)
	d.Metrics.Gauge("hickorybank_leaving_upstreams", n.leavingUpstreams)
	d.Metrics.Gauge("hickorybank_resting_upstreams", n.restingUpstreams)
	d.Metrics.Gauge("hickorybank_slow_upstreams", func() float64 { return float64(n.speedSummary().Slow) })
	d.Metrics.Gauge("hickorybank_speed_evidence_age_seconds", func() float64 { return n.speedSummary().OldestEvidence.Seconds() })
	d.Metrics.Gauge("hickorybank_room_waiting", n.waitingRequests)
	d.Metrics.Gauge("hickorybank_convicted_keys", n.convictedKeys)
	d.Metrics.Gauge("hickorybank_quarantined_keys", n.quarantinedKeys)
	return n
}

// originOf returns a number that identifies one run of a node.
func originOf(id string, born int64) uint64 {
	return xxhash.Sum64String(id + "@" + strconv.FormatInt(born, 10))
}

// configVersion returns the version of the active configuration; 0 for none.
func (n *Node) configVersion() int64 {
	if c := n.config.Load(); c != nil {
		return c.Version
	}
	return 0
}

// Ready reports whether the node can serve: it has a configuration and a list of upstreams,
// and is not stopping.
func (n *Node) Ready() bool {
	if n.isStopping() || n.config.Load() == nil {
		return false
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.view.listRevision > 0
}

// Active returns the number of callers' requests in progress.
func (n *Node) Active() int64 { return n.active.Load() }

// ReadyHandler returns a handler that answers whether the node is ready.
func (n *Node) ReadyHandler() http.Handler {
	return telemetry.Readyz(func() []string {
		if n.Ready() {
			return nil
		}
		return []string{"not ready"}
	})
}
