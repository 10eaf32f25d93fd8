package suspect

import (
	"slices"

	"github.com/hickorybank/hickorybank/internal/request"
)

// learn takes a record in and passes on what was new. from is the peer that
// sent it, or empty.
func (t *Tracker) learn(r Record, from string) {
	_, before := t.store.get(r.Fingerprint).strikes()
	c := t.store.merge(r, t.now)
	e := t.store.get(r.Fingerprint)
	if e == nil {
		return
	}
	if _, proven := e.strikes(); before < convicting && proven >= convicting {
		t.out.Convicted = append(t.out.Convicted, e.fingerprint)
	}
	if c.news {
		t.tellAll(e, from, c.more)
		t.speakUp(r.Fingerprint)
	}
	if c.more && !c.news {
		t.tell(t.peers.of[from], e)
	}
}

// tellAll marks the record for all neighbours but the one that has just told
// all of it.
func (t *Tracker) tellAll(e *entry, from string, more bool) {
	if !t.settings.has(guardAlert) {
		return
	}
	for _, p := range t.peers.neighbours {
		if p.id != from || more {
			t.tell(p, e)
		}
	}
}

func (t *Tracker) tell(p *peer, e *entry) {
	if p == nil || !t.settings.has(guardAlert) {
		return
	}
	if len(p.pending) == 0 && !slices.Contains(t.untold, p) {
		t.untold = append(t.untold, p)
	}
	p.pending[e.fingerprint] = e.version
}

// alertPeers sends what peers have not acknowledged.
func (t *Tracker) alertPeers() {
	t.untold = slices.DeleteFunc(t.untold, func(p *peer) bool { return len(p.pending) == 0 || t.peers.of[p.id] != p })
	for _, p := range t.untold {
		if len(p.alerts) > 0 && t.now < p.alerted+t.settings.Resend {
			continue
		}
		t.alert(p)
	}
}

func (t *Tracker) alert(p *peer) {
	items := p.due()
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
	p.sent(m.Seq, items, t.now)
	t.send(m)
}

// speakUp takes back others' doubts about this node: it is not silent, and
// knows what became of the request here.
func (t *Tracker) speakUp(f request.Fingerprint) {
	e := t.store.get(f)
	if e == nil || t.flying(f, "") {
		return
	}
	self := CrashID{Upstream: t.settings.Self, Epoch: t.settings.Born, Doubt: true}
	if !contains(e.crashes, self) || contains(e.cleared, self) {
		return
	}
	t.learn(Record{Fingerprint: f, Cleared: []CrashID{self}, Left: e.expires - t.now}, "")
}
