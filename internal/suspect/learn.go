package suspect

import (
	"slices"

	"github.com/hickorybank/hickorybank/internal/request"
)

// learn merges a record and passes on what was new. from is the peer that sent it, or
// empty.
func (t *Tracker) learn(r Record, from string) {
	_, before := t.store.get(r.Fingerprint).crashCount()
	c := t.store.merge(r, t.now)
	e := t.store.get(r.Fingerprint)
	if e == nil {
		return
	}
	if _, proven := e.crashCount(); before < convictionCrashes && proven >= convictionCrashes {
		t.ready.Convicted = append(t.ready.Convicted, e.fingerprint)
	}
	if c.learned {
		t.queueForNeighbours(e, from, c.hasMore)
		t.clearOwnDoubt(r.Fingerprint)
	}
	if c.hasMore && !c.learned {
		t.queueFor(t.peers.byID[from], e)
	}
}

// queueForNeighbours queues the record for all neighbours, except the one that has just
// sent all of it.
func (t *Tracker) queueForNeighbours(e *entry, from string, more bool) {
	if !t.settings.applies(ruleAlert) {
		return
	}
	for _, p := range t.peers.neighbours {
		if p.id != from || more {
			t.queueFor(p, e)
		}
	}
}

func (t *Tracker) queueFor(p *peer, e *entry) {
	if p == nil || !t.settings.applies(ruleAlert) {
		return
	}
	if len(p.pending) == 0 && !slices.Contains(t.unacknowledged, p) {
		t.unacknowledged = append(t.unacknowledged, p)
	}
	p.pending[e.fingerprint] = e.version
}

// sendAlerts sends the records that peers have not acknowledged.
func (t *Tracker) sendAlerts() {
	t.unacknowledged = slices.DeleteFunc(t.unacknowledged, func(p *peer) bool { return len(p.pending) == 0 || t.peers.byID[p.id] != p })
	for _, p := range t.unacknowledged {
		if len(p.alerts) > 0 && t.now < p.alertedAt+t.settings.ResendInterval {
			continue
		}
		t.sendAlert(p)
	}
}

func (t *Tracker) sendAlert(p *peer) {
	items := p.nextItems()
	m := Message{To: p.id, Kind: Alert, Seq: t.nextSeq()}
	for _, item := range items {
		e := t.store.get(item.fingerprint)
		if e == nil {
			delete(p.pending, item.fingerprint)
			continue
		}
		m.Records = append(m.Records, e.record(t.now))
	}
	if len(m.Records) == 0 {
		return
	}
	p.addAlert(m.Seq, items, t.now)
	t.send(m)
}

// clearOwnDoubt clears other nodes' doubts about this node: it is reachable, and no
// attempt of the request runs here.
func (t *Tracker) clearOwnDoubt(f request.Fingerprint) {
	e := t.store.get(f)
	if e == nil || t.inFlight(f, "") {
		return
	}
	self := CrashID{Upstream: t.settings.Self, Epoch: t.settings.Born, Doubt: true}
	if !contains(e.crashes, self) || contains(e.cleared, self) {
		return
	}
	t.learn(Record{Fingerprint: f, Cleared: []CrashID{self}, Left: e.expiresAt - t.now}, "")
}
