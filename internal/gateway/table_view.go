package gateway

import (
	"time"

	"github.com/hickorybank/hickorybank/internal/revision"
)

// tableView is what the node knows of the platform's table.
type tableView struct {
	// listRevision and ordersRevision are the table's revisions up to which the node has
	// applied the list of upstreams and operator orders.
	listRevision, ordersRevision revision.Revision
	// ownOrdersRevision is the table's revision at this node's own latest reading of
	// operator orders.
	ownOrdersRevision revision.Revision
	// era is the latest era of the table that is known, if eraKnown is set; restoredAt is when
	// this node learned of it, zero if it was the first.
	era        uint64
	eraKnown   bool
	restoredAt time.Time
	// rejoinedAt is the restore after which this node has recorded itself again.
	rejoinedAt time.Time
	// ordersReadWholeAt is when this node last read all operator orders after a restore.
	ordersReadWholeAt time.Time
	// listAsOf is when the latest reading of the list began that the node has applied, its
	// own or a peer's. ordersAsOf is the time as of which operator orders are known.
	// ordersPendingAt is when a large order was last known to be in transfer to the reader.
	listAsOf, ordersAsOf, ordersPendingAt time.Time
	// peerReadingAt is when a peer without state last said that it reads the table.
	peerReadingAt time.Time
	// listPendingAt is when a peer last sent a part of its list, or served others.
	listPendingAt time.Time
	// listClock and ordersClock are the table's own clock at these readings.
	listClock, ordersClock time.Duration
	// transferring is set while this node itself reads a large order from the table.
	transferring bool
	// recoveredAt is when this node first knew of a reading after an outage of the table.
	recoveredAt time.Time
	// readFailedAt is when this node last failed to read the table, failingSince when it first
	// did since its last success. They say nothing about its reader, which may be lost.
	readFailedAt, failingSince time.Time
	// outageAt is when this node's reader or leader last failed to read the table, as it
	// reports; outageSince is when the first such report arrived since the last reading.
	outageAt, outageSince time.Time
	// outagePushedAt is when this node last reported that it can't read.
	outagePushedAt time.Time
	// ownListAsOf is when this node's own latest reading of the list began. substituted is
	// set if that reading was in place of the reader.
	ownListAsOf time.Time
	substituted bool
	// readingDueAt is when this node next reads the table, unless it receives a reading before.
	readingDueAt time.Time
	// readFailed is set if this node's latest reading failed. relayToGroup and relayToLeaders
	// are set while a reading of another node has to be pushed on.
	readFailed, relayToGroup, relayToLeaders bool
	// messageAge is the age of the latest reading of another node when it arrived.
	messageAge time.Duration
	// pendingProof is a proof of operator orders whose configuration is in transfer.
	// nextPendingProof is the latest after it. With frequent changes, the latest alone
	// would never match the active version.
	pendingProof, nextPendingProof ordersProof
	// gaplessSince is when the node's current series of readings without a gap began,
	// gapStart the last reading before that gap.
	gaplessSince, gapStart time.Time
	// retained are upstreams that vanished during an outage of the table, with the time
	// until which they are retained.
	retained map[string]time.Time
}

// lastFailure returns when this node, its reader or its leader last failed to read the table.
func (v *tableView) lastFailure() time.Time { return later(v.readFailedAt, v.outageAt) }

// unavailable reports whether the latest known reading of the table failed.
func (v *tableView) unavailable() bool { return v.lastFailure().After(v.listAsOf) }
