package node

import (
	"context"
	"log/slog"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/hickorybank/hickorybank/internal/crashguard"
	"github.com/hickorybank/hickorybank/internal/event"
)

// trialAskTimeout bounds a request for a trial, for which a caller waits.
const trialAskTimeout = 300 * time.Millisecond

// beginTrial reports whether a chat is granted a trial of a blocked key. It is about to be sent
// then.
func (c *crashParts) beginTrial(r *chatRun, key crashguard.Key) bool {
	if !c.askTrial(key) {
		c.denyTrial(key)
		return false
	}
	c.mu.Lock()
	r.trial = key
	record := c.guard.BeginTrial(key, time.Now())
	c.mu.Unlock()
	if record {
		_ = c.node.recorder.save(context.Background(), trialAskTimeout) // the trial is sent in any case
	}
	event.CrashTrial.Log(c.node.deps.Log, slog.String("request", r.id), slog.String("key", crashKeyText(key)))
	c.wake()
	return true
}

// denyTrial records that this node may make no trial of a key now.
func (c *crashParts) denyTrial(key crashguard.Key) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.guard.DenyTrial(key, time.Now())
}

// askTrial asks the node that grants the trials of a key for one.
func (c *crashParts) askTrial(key crashguard.Key) bool {
	c.mu.Lock()
	ask, addr := c.guard.TrialRequest(key), c.trialGranter(key)
	c.mu.Unlock()
	if addr == "" {
		return c.grant(ask)
	}
	ctx, cancel := context.WithTimeout(context.Background(), trialAskTimeout)
	defer cancel()
	var granted bool
	return c.node.pool.Call(ctx, addr, crashGrant, &ask, &granted) == nil && granted
}

func (c *crashParts) grant(r crashguard.TrialRequest) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.guard.GrantTrial(r, time.Now())
}

// trialGranter returns the address of the node that grants the trials of a key, the first by
// rendezvous hashing; empty for this node. The caller holds mu.
func (c *crashParts) trialGranter(key crashguard.Key) (addr string) {
	hash := func(id string) uint64 { return xxhash.Sum64String(id + crashKeyText(key)) }
	lowest := hash(c.node.settings.ID)
	for _, m := range c.all {
		if h := hash(m.ID); h < lowest {
			addr, lowest = m.Peer, h
		}
	}
	return addr
}
