package gateway

import (
	"log/slog"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/hickorybank/hickorybank/internal/crashguard"
	"github.com/hickorybank/hickorybank/internal/event"
	"github.com/hickorybank/hickorybank/internal/gossip"
)

// beginTrial reports whether the job, which is about to be sent, is granted a trial of the key by
// which it is blocked.
func (j *job) beginTrial(key crashguard.Key) bool {
	n := j.node
	if !n.askTrial(key) {
		j.denyTrial(key)
		return false
	}
	n.mu.Lock()
	j.trial = key
	record := n.crashGuard.BeginTrial(key, time.Now())
	n.mu.Unlock()
	if record {
		n.recordTrial(j.ctx, key) // a sound request must not stay refused because the table is away
	}
	n.logEvent(event.CrashTrial, j, slog.String("key", keyText(key)), slog.String("parts", j.sharedParts()))
	wake(n.crashNews)
	return true
}

// denyTrial refuses the job for a key of which it may make no trial now.
func (j *job) denyTrial(key crashguard.Key) {
	n := j.node
	n.mu.Lock()
	defer n.mu.Unlock()
	n.crashGuard.DenyTrial(key, time.Now())
	j.refuseFor(key)
}

// askTrial asks the node that grants the trials of a key for one.
func (n *Node) askTrial(key crashguard.Key) bool {
	n.mu.Lock()
	ask, granter := n.crashGuard.TrialRequest(key), n.trialGranter(key)
	n.mu.Unlock()
	if granter.ID == n.settings.ID {
		return n.GrantTrial(ask)
	}
	granted, err := n.gossipClient.GrantTrial(granter.Peer, ask)
	n.countExchange(err)
	if err != nil {
		event.PeerCallFailed.Log(n.log, slog.String("peer", granter.ID), slog.String("addr", granter.Peer), slog.String("err", err.Error()))
		n.notePeerFailure(granter, err)
	}
	return err == nil && granted
}

// GrantTrial answers a node that asks for a trial of a key. It is a method of the gossip service.
func (n *Node) GrantTrial(r crashguard.TrialRequest) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.crashGuard.GrantTrial(r, time.Now())
}

// trialGranter returns the node that grants the trials of a key: the first by rendezvous hashing
// of those alive. The caller holds mu.
func (n *Node) trialGranter(key crashguard.Key) gossip.Member {
	granter := n.roster.Self()
	lowest := trialHash(granter.ID, key)
	for _, m := range n.roster.Alive() {
		if hash := trialHash(m.ID, key); hash < lowest {
			granter, lowest = m, hash
		}
	}
	return granter
}

// trialHash orders the nodes that may grant the trials of a key.
func trialHash(node string, key crashguard.Key) uint64 {
	return xxhash.Sum64String(node + keyText(key))
}
