package gateway

import (
	"log/slog"
	"slices"
	"time"

	"github.com/hickorybank/hickorybank/internal/event"
	"github.com/hickorybank/hickorybank/internal/gossip"
	"github.com/hickorybank/hickorybank/internal/revision"
)

// Exchange answers a peer's message. It is a method of the gossip service.
func (n *Node) Exchange(in gossip.Message) gossip.Message {
	n.receive(in)
	n.mu.Lock()
	defer n.mu.Unlock()
	out := n.baseMessage(in.From)
	n.addRosterDifference(&out, in)
	out.Tallies = n.canary.Tallies(time.Now())
	if in.Proof.Age < 0 || in.Proof.Age > n.readInterval()*2 {
		n.addFleet(&out, in.From) // the sender can't read the table itself
	}
	return out
}

// newMessage returns a regular gossip message for a peer.
func (n *Node) newMessage(to gossip.Member) gossip.Message {
	n.mu.Lock()
	defer n.mu.Unlock()
	m := n.baseMessage(to.ID)
	m.Tallies = n.canary.Tallies(time.Now())
	return m
}

// pushMessage returns what a leader pushes to its group and to other leaders. Other leaders
// get only the counts of the leader's own group. If all leaders sent the counts of all
// nodes, the counts of a rollout would cross failure domains once per leader.
func (n *Node) pushMessage(to gossip.Member) gossip.Message {
	now := time.Now()
	n.mu.Lock()
	defer n.mu.Unlock()
	m := n.baseMessage(to.ID)
	near := n.inGroup(to.ID)
	m.Tallies = n.canary.TalliesToRelay(now, func(node string) bool { return near || n.inGroup(node) })
	n.addFleet(&m, to.ID)
	return m
}

// baseMessage returns what every message contains; the caller holds mu.
func (n *Node) baseMessage(to string) gossip.Message {
	now := time.Now()
	m := gossip.Message{
		From: n.settings.ID, Born: n.incarnation,
		RosterHash:  n.roster.Hash(),
		Pins:        n.canary.Pins(now),
		Evacuations: n.evacuations.All(),
		Crashes:     n.crashGuard.Report(now),
		Proof:       gossip.Proof{Age: noProof, OrdersAge: noProof, FleetHash: n.fleet.Hash()},
	}
	if asOf := n.view.listAsOf; !asOf.IsZero() {
		m.Proof.Age = now.Sub(asOf)
		m.Proof.Steady = now.Sub(n.view.gaplessSince)
		m.Proof.ListClock = n.view.listClock
		m.Proof.ListRead = n.view.listRevision
	}
	m.Reading = n.view.listAsOf.IsZero() && n.lastReadAt.After(n.view.readFailedAt)
	if n.view.unavailable() {
		m.Proof.Away = max(now.Sub(n.view.lastFailure()), time.Nanosecond) // 0 means no outage
	}
	if asOf := n.view.ordersAsOf; !asOf.IsZero() {
		m.Proof.OrdersAge = now.Sub(asOf)
		m.Proof.OrdersRead = n.view.ordersRevision
		m.Proof.OrdersClock = n.view.ordersClock
		m.Proof.OrdersPending = (n.leadsGroup() || n.view.transferring) && n.view.ordersPendingAt.After(asOf)
		if m.Proof.OrdersPending && !n.view.transferring {
			m.Proof.PendingAge = now.Sub(n.view.ordersPendingAt)
		}
	}
	_, known := n.peerStates[to]
	m.Notices = n.fleet.Notices(now, !known)
	if !known {
		// The peer may not know this node. Other members that it lacks show in its answer's
		// hash: a full roster at each first contact was half of what 168 nodes received.
		m.Members = []gossip.Member{n.roster.Self()}
	}
	if len(n.peerStates) == 0 {
		// It has just started and lacks nearly all members.
		m.Digest, m.Marks = n.roster.Digest(), n.roster.Marks(nil, now)
	}
	if c := n.config.Load(); c != nil {
		m.ConfigVersion = c.Version
	}
	for _, o := range n.rollouts {
		o.Age = now.Sub(n.rolloutStartedAt[o.Service])
		o.Outcome = n.canary.Outcome(o.Service)
		m.Orders = append(m.Orders, o)
	}
	return m
}

// noProof is the age of a proof that does not exist.
const noProof = -time.Nanosecond

// addRosterDifference adds to an answer the members in which the sender's roster differs,
// or the digest by which the sender finds them; the caller holds mu.
func (n *Node) addRosterDifference(out *gossip.Message, in gossip.Message) {
	switch {
	case in.RosterHash == n.roster.Hash():
	case len(in.Digest) > 0:
		out.Members = n.roster.Missing(in.Digest, in.Marks, time.Now())
	default:
		out.Digest = n.roster.Digest()
	}
}

// addFleet adds the edits that the peer's list of upstreams lacks, or offers the list if
// they are not known; the caller holds mu.
func (n *Node) addFleet(m *gossip.Message, to string) {
	theirs := n.peerStates[to]
	if n.view.listRevision == 0 || theirs.fleetHash == m.Proof.FleetHash {
		return
	}
	if theirs.fleetRevision == 0 {
		// A node without a list fetches it from one peer, compressed and with the retained
		// upstreams. As edits it would come from each peer.
		m.ListOffered = true
		return
	}
	edits, ok := n.fleet.EditsSince(theirs.fleetHash, theirs.fleetRevision, time.Now())
	m.Edits, m.ListOffered = edits, !ok
}

// receive merges a peer's message. It reports whether the rosters differ and the peer's
// digest shows where.
func (n *Node) receive(in gossip.Message) (differ bool) {
	now := time.Now()
	n.notePeerVersion(in.ConfigVersion)
	n.mu.Lock()
	defer n.mu.Unlock()
	n.noteProofEra(&in.Proof, now)
	n.peerStates[in.From] = peerState{configVersion: in.ConfigVersion, fleetHash: in.Proof.FleetHash, fleetRevision: in.Proof.ListRead}
	n.mergeMembers(in, now)
	n.noteInformed(in, now)
	if n.view.listAsOf.IsZero() || n.view.ordersAsOf.IsZero() {
		wake(n.readingDue)
	}
	if in.Reading {
		n.view.peerReadingAt = now
	}
	n.applyEvacuations(in.Evacuations, in.From)
	n.mergeNotices(in, now)
	for _, o := range in.Orders {
		n.applyRollout(o.Order, o.Age, in.From)
		n.applyOutcome(o, in.From)
	}
	n.canary.MergePins(in.Pins, now)
	for _, t := range in.Tallies {
		if n.canary.Merge(t, now) {
			event.VersionDecided.Log(n.log, slog.String("service", t.Service), slog.String("verdict", t.Verdict.String()),
				revisionAttr(t.Revision), slog.String("from", in.From))
		}
	}
	n.mergeCrashes(in.Crashes, now)
	n.mergeOutage(in, now)
	n.mergeListProof(in, now)
	n.mergeOrdersProof(in, now)
	return in.RosterHash != n.roster.Hash() && len(in.Digest) > 0
}

// mergeMembers merges a peer's members into the roster; the caller holds mu.
func (n *Node) mergeMembers(in gossip.Message, now time.Time) {
	n.roster.RecordResponse(in.From)
	for _, m := range n.roster.Merge(in.Members, now) {
		event.PeerChanged.Log(n.log, slog.String("peer", m.ID), slog.String("from", in.From),
			slog.Bool("ready", m.Ready), slog.Bool("leaving", m.Leaving), slog.Bool("dead", m.Dead), slog.Uint64("beat", m.Beat))
	}
}

// mergeListProof takes over a peer's newer reading of the list, once this node has
// everything that the reading returned. The caller holds mu.
//
// The table's clock decides which reading is newer. By its age alone, a reading that comes
// back from a peer would always seem newer than before, since its transfer time is unknown.
// Hundreds of nodes then kept each other's readings fresh for ever while the table refused
// their reader, and no other node read in its place.
func (n *Node) mergeListProof(in gossip.Message, now time.Time) {
	if in.Proof.Age < 0 || in.Proof.ListRead == 0 || in.Proof.ListRead.Era() < n.view.era {
		return
	}
	peerGaplessSince := now.Add(-in.Proof.Steady)
	if peerGaplessSince.Before(n.view.gapStart) {
		n.dropRetained()
	}
	at := now.Add(-in.Proof.Age)
	if !n.isListNewer(in.Proof.ListRead, in.Proof.ListClock) {
		return
	}
	if in.Proof.ListRead >= n.view.listRevision {
		mayHaveLapsed := n.missedReadings(at) && !peerGaplessSince.Before(n.view.listAsOf)
		n.mergeEdits(in, at, mayHaveLapsed || n.isFirstOfEra(in.Proof.ListRead))
	}
	if n.fleet.Hash() != in.Proof.FleetHash {
		if in.ListOffered {
			n.noteListOffer(in.From, at, in.Proof.ListClock, peerGaplessSince, now)
		}
		return
	}
	first := n.view.listAsOf.IsZero()
	n.advanceList(at, in.Proof.ListClock)
	n.view.messageAge = in.Proof.Age
	if first {
		n.view.gaplessSince = earlier(n.view.gaplessSince, peerGaplessSince)
	}
	n.noteRemoteReading(in)
	n.view.listRevision = max(n.view.listRevision, in.Proof.ListRead)
}

// mergeOrdersProof takes over a peer's reading of operator orders. The rollouts that it
// returned came with the message; the configuration may still be in transfer. The caller
// holds mu.
func (n *Node) mergeOrdersProof(in gossip.Message, now time.Time) {
	if in.Proof.OrdersPending && (n.receivesTableFrom(in.From) || n.inGroup(in.From)) {
		n.view.ordersPendingAt = later(n.view.ordersPendingAt, now.Add(-in.Proof.PendingAge))
	}
	if in.Proof.OrdersAge < 0 || in.ConfigVersion == 0 || in.Proof.OrdersRead.Era() < n.view.era ||
		!n.areOrdersNewer(in.Proof.OrdersRead, in.Proof.OrdersClock) {
		return
	}
	p := ordersProof{at: now.Add(-in.Proof.OrdersAge), clock: in.Proof.OrdersClock, version: in.ConfigVersion, revision: in.Proof.OrdersRead}
	switch {
	case n.view.pendingProof.version == 0:
		n.view.pendingProof = p
	case p.supersedes(&n.view.pendingProof) && p.supersedes(&n.view.nextPendingProof):
		n.view.nextPendingProof = p
	}
	n.applyPendingProofs()
}

// inGroup reports whether a node is in this node's group; the caller holds mu.
func (n *Node) inGroup(id string) bool {
	return slices.ContainsFunc(n.roster.Group(), func(m gossip.Member) bool { return m.ID == id })
}

// receivesTableFrom reports whether a peer is the leader or reader that this node depends
// on; the caller holds mu.
func (n *Node) receivesTableFrom(id string) bool {
	leaders := n.roster.LeaderGroup()
	return id == n.roster.Group()[0].ID || len(leaders) > 0 && id == leaders[0].ID
}

// ordersProof states that operator orders up to a revision are known to a node that has a
// version of the configuration.
type ordersProof struct {
	at       time.Time
	clock    time.Duration
	version  int64
	revision revision.Revision
}

// supersedes reports whether the proof is of a newer reading than other. The table's clock orders
// the readings of one era only.
func (p *ordersProof) supersedes(other *ordersProof) bool {
	if p.revision.Era() != other.revision.Era() {
		return p.revision.Era() > other.revision.Era()
	}
	return p.clock > other.clock
}

// applyPendingProofs applies the proofs that waited for their configuration, once it is
// active; the caller holds mu.
//
// Without it, proofs would be lost because a transfer takes a moment, and the node would
// soon read the table itself for what it has just received.
func (n *Node) applyPendingProofs() {
	for {
		p := n.view.pendingProof
		if p.version == 0 || n.configVersion() < p.version {
			return
		}
		if n.areOrdersNewer(p.revision, p.clock) {
			n.advanceOrders(p.at, p.clock)
		}
		n.view.ordersRevision = max(n.view.ordersRevision, p.revision)
		n.view.pendingProof, n.view.nextPendingProof = n.view.nextPendingProof, ordersProof{}
	}
}
