package gateway

import (
	"log/slog"
	"slices"
	"time"

	"github.com/hickorybank/hickorybank/internal/event"
	"github.com/hickorybank/hickorybank/internal/gossip"
)

// Exchange answers a peer's message.
func (n *Node) Exchange(in gossip.Message) gossip.Message {
	n.take(in)
	n.mu.Lock()
	defer n.mu.Unlock()
	out := n.compose(in.From)
	n.answerMembers(&out, in)
	out.Tallies = n.canary.Tallies(time.Now())
	if in.Proof.Age < 0 || in.Proof.Age > n.readEvery()*2 {
		n.tellFleet(&out, in.From) // the sender can't read the table itself
	}
	return out
}

// message is the usual news for a peer.
func (n *Node) message(to gossip.Member) gossip.Message {
	n.mu.Lock()
	defer n.mu.Unlock()
	m := n.compose(to.ID)
	m.Tallies = n.canary.Tallies(time.Now())
	return m
}

// feedMessage is what a leader tells its group and other leaders. Those hear the counts of
// each group from its own leader: told by all leaders of all nodes, the counts of a
// roll-out crossed failure domains as often as there are leaders.
func (n *Node) feedMessage(to gossip.Member) gossip.Message {
	now := time.Now()
	n.mu.Lock()
	defer n.mu.Unlock()
	m := n.compose(to.ID)
	near := n.inGroup(to.ID)
	m.Tallies = n.canary.Known(now, func(node string) bool { return near || n.inGroup(node) })
	n.tellFleet(&m, to.ID)
	return m
}

// compose is what every message has; the caller holds mu.
func (n *Node) compose(to string) gossip.Message {
	now := time.Now()
	m := gossip.Message{
		From: n.settings.ID, Born: n.born,
		RosterHash:  n.roster.Hash(),
		Pins:        n.canary.Pins(now),
		Evacuations: n.evacuations.All(),
		Strikes:     n.guard.Known(now),
		Proof:       gossip.Proof{Age: noProof, OrdersAge: noProof, FleetHash: n.fleet.Hash()},
	}
	if proven := n.list.provenAt; !proven.IsZero() {
		m.Proof.Age = now.Sub(proven)
		m.Proof.Steady = now.Sub(n.list.steadySince)
		m.Proof.ListClock = n.list.listClock
		m.Proof.FleetRevision = n.list.revision
	}
	if away := n.list.awayAt; away.After(n.list.provenAt) {
		m.Proof.Away = now.Sub(away)
	}
	if proven := n.list.ordersProvenAt; !proven.IsZero() {
		m.Proof.OrdersAge = now.Sub(proven)
		m.Proof.OrdersRevision = n.list.orders
		m.Proof.OrdersClock = n.list.ordersClock
		m.Proof.OrdersPending = (n.leads() || n.list.transfers) && n.list.ordersPendingAt.After(proven)
	}
	_, heard := n.told[to]
	m.Notices = n.fleet.Notices(now, !heard)
	if !heard {
		// It may not know this node. What else it lacks shows in its answer's hash: a
		// table of all members at each first contact was half of what 168 nodes heard.
		m.Members = []gossip.Member{n.roster.Self()}
	}
	if len(n.told) == 0 {
		m.Digest = n.roster.Digest() // it has just started and lacks nearly all
	}
	if c := n.config.Load(); c != nil {
		m.ConfigVersion = c.Version
	}
	for _, o := range n.orders {
		o.Age = now.Sub(n.started[o.Service])
		m.Orders = append(m.Orders, o)
	}
	return m
}

// noProof is the age of a proof where there is none.
const noProof = -time.Nanosecond

// answerMembers adds to an answer the members in which the asker's roster differs, or
// by what it may find out; the caller holds mu.
func (n *Node) answerMembers(out *gossip.Message, in gossip.Message) {
	switch {
	case in.RosterHash == n.roster.Hash():
	case len(in.Digest) > 0:
		out.Members = n.roster.Differing(in.Digest, time.Now())
	default:
		out.Digest = n.roster.Digest()
	}
}

// tellFleet adds what the peer's list of upstreams lacks, or the whole where it is not
// known what it has; the caller holds mu.
func (n *Node) tellFleet(m *gossip.Message, to string) {
	theirs := n.told[to].fleetHash
	if n.list.revision == 0 || theirs == m.Proof.FleetHash {
		return
	}
	if theirs == 0 {
		m.Lapsed = n.lapsed()
	}
	if edits, ok := n.fleet.EditsSince(theirs, time.Now()); ok {
		m.Edits = edits
		return
	}
	m.Fleet = n.fleet.Records(time.Now())
}

// take takes what a peer tells; it reports whether both know other members, and the
// peer's digest tells which.
func (n *Node) take(in gossip.Message) (differ bool) {
	now := time.Now()
	n.hearVersion(in.ConfigVersion)
	n.mu.Lock()
	defer n.mu.Unlock()
	n.told[in.From] = told{config: in.ConfigVersion, fleetHash: in.Proof.FleetHash}
	n.takeMembers(in, now)
	n.noteInformed(in, now)
	n.takeEvacuations(in.Evacuations, in.From)
	n.takeNotices(in, now)
	for _, o := range in.Orders {
		n.takeOrder(o.Order, o.Age, in.From)
	}
	n.canary.TakePins(in.Pins, now)
	for _, t := range in.Tallies {
		if n.canary.Merge(t, now) {
			event.VersionDecided.Log(n.log, slog.String("service", t.Service), slog.String("verdict", t.Verdict.String()),
				slog.Uint64("revision", t.Revision), slog.String("from", in.From))
		}
	}
	for _, s := range in.Strikes {
		n.guard.Add(s, now)
	}
	n.takeAway(in, now)
	n.takeListProof(in, now)
	n.takeOrdersProof(in, now)
	return in.RosterHash != n.roster.Hash() && len(in.Digest) > 0
}

func (n *Node) takeMembers(in gossip.Message, now time.Time) {
	n.roster.Answered(in.From)
	for _, m := range n.roster.Merge(in.Members, now) {
		event.PeerChanged.Log(n.log, slog.String("peer", m.ID), slog.String("from", in.From),
			slog.Bool("ready", m.Ready), slog.Bool("leaving", m.Leaving), slog.Bool("dead", m.Dead), slog.Uint64("beat", m.Beat))
	}
}

// takeAway takes the word of who reads for this node that it cannot; a leader passes it on.
func (n *Node) takeAway(in gossip.Message, now time.Time) {
	if in.Proof.Away <= 0 || !n.hearsFrom(in.From) {
		return
	}
	first := !n.list.awayAt.After(n.list.provenAt)
	n.list.awayAt = later(n.list.awayAt, now.Add(-in.Proof.Away))
	if first && n.list.awayAt.After(n.list.provenAt) {
		n.noteReading(in.From)
	}
}

// takeListProof takes a peer's newer reading of the list, once this node has all that
// the reading saw.
//
// A list is taken whole from a newer reading only: an older one could bring
// back an upstream that has left. Which is newer the table's clock tells. By its age the
// same reading would always be newer than when it was heard before, as its time on the
// way is not known: hundreds of nodes kept each other's knowledge fresh for ever while
// the table turned their reader away, and nobody read in its place.
func (n *Node) takeListProof(in gossip.Message, now time.Time) {
	if in.Proof.Age < 0 || in.Proof.FleetRevision == 0 {
		return
	}
	steadySince := now.Add(-in.Proof.Steady)
	if steadySince.Before(n.list.awayFrom) {
		n.dropKept()
	}
	at := now.Add(-in.Proof.Age)
	if in.Proof.ListClock <= n.list.listClock {
		return
	}
	knewNone := n.list.revision == 0
	if in.Proof.FleetRevision >= n.list.revision {
		n.takeFleet(in, at, n.wasAway(at) && !steadySince.Before(n.list.provenAt))
	}
	if n.fleet.Hash() != in.Proof.FleetHash {
		return
	}
	if knewNone {
		n.keep(in.Lapsed, at.Add(lapseGrace))
	}
	first := n.list.provenAt.IsZero()
	n.listProven(at, in.Proof.ListClock)
	if first {
		n.list.steadySince = earlier(n.list.steadySince, steadySince)
	}
	n.noteReading(in.From)
	n.list.revision = max(n.list.revision, in.Proof.FleetRevision)
}

// takeOrdersProof takes a peer's reading of operators' changes. The roll-outs that it
// saw came with the message; the configuration may still be on its way.
func (n *Node) takeOrdersProof(in gossip.Message, now time.Time) {
	if in.Proof.OrdersPending && (n.hearsFrom(in.From) || n.inGroup(in.From)) {
		n.list.ordersPendingAt = now
	}
	if in.Proof.OrdersAge < 0 || in.ConfigVersion == 0 || in.Proof.OrdersClock <= n.list.ordersClock {
		return
	}
	p := ordersProof{at: now.Add(-in.Proof.OrdersAge), clock: in.Proof.OrdersClock, version: in.ConfigVersion, revision: in.Proof.OrdersRevision}
	switch {
	case n.list.awaited.version == 0:
		n.list.awaited = p
	case p.clock > n.list.awaited.clock && p.clock > n.list.awaitedNext.clock:
		n.list.awaitedNext = p
	}
	n.useOrdersProof()
}

// inGroup tells whether a node is in this node's group; the caller holds mu.
func (n *Node) inGroup(id string) bool {
	return slices.ContainsFunc(n.roster.Group(), func(m gossip.Member) bool { return m.ID == id })
}

// hearsFrom tells whether this node hears from a peer what is read of the table; the
// caller holds mu.
func (n *Node) hearsFrom(id string) bool {
	circle := n.roster.Circle()
	return id == n.roster.Group()[0].ID || len(circle) > 0 && id == circle[0].ID
}

// ordersProof says that operators' changes up to a revision are known, to who has a
// version of the configuration.
type ordersProof struct {
	at       time.Time
	clock    time.Duration
	version  int64
	revision uint64
}

// useOrdersProof takes the proof that waited for its configuration, once that is in
// force; the caller holds mu.
//
// It guards against proofs that are lost because a transfer takes a moment: the node
// would soon read the table itself, for what it has just got.
func (n *Node) useOrdersProof() {
	for {
		p := n.list.awaited
		if p.version == 0 || n.configVersion() < p.version {
			return
		}
		if p.clock > n.list.ordersClock {
			n.ordersProven(p.at, p.clock)
		}
		n.list.orders = max(n.list.orders, p.revision)
		n.list.awaited, n.list.awaitedNext = n.list.awaitedNext, ordersProof{}
	}
}

// takeFleet takes the list of upstreams that a message has, or its edits if they lead
// from the list that this node has. at is when the reading behind it began; lapsing is
// set where the table may have been away before it, to the sender as well.
func (n *Node) takeFleet(in gossip.Message, at time.Time, lapsing bool) {
	put, drop := in.Edits.Put, in.Edits.Drop
	switch {
	case len(in.Fleet) > 0:
		put, drop = in.Fleet, n.unlisted(in.Fleet)
	case len(put)+len(drop) == 0 || in.Edits.From != n.fleet.Hash():
		return
	}
	n.list.revision = in.Proof.FleetRevision
	for _, r := range put {
		n.putUpstream(r, time.Now())
	}
	n.dropUpstreams(drop, at, lapsing)
}
