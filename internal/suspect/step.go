package suspect

import "time"

// Step takes a message from a peer.
func (t *Tracker) Step(m Message, now time.Time) {
	t.at(now)
	if m.From == t.settings.Self {
		return
	}
	p := t.peers.hear(&m, t.now)
	for _, r := range m.Records {
		t.learn(r, m.From)
	}
	switch m.Kind {
	case Alert:
		t.send(Message{To: m.From, Kind: AlertAck, Seq: m.Seq})
	case AlertAck:
		if p != nil {
			p.acknowledged(m.Seq)
		}
	case Pull:
		t.push(m)
	case Push:
		t.pulled(m)
	case Ask:
		t.vote(m)
	case Answer:
		t.answered(m)
	case Release:
		t.holder.Release(m.Fingerprint, m.Attempt, m.From)
		t.send(Message{To: m.From, Kind: ReleaseAck, Seq: m.Seq})
	case ReleaseAck:
		t.released(m)
	case Bye:
		if p != nil {
			p.bye = true
		}
	}
	t.work()
}

// push answers a pull with all records when the other's differ.
func (t *Tracker) push(m Message) {
	out := Message{To: m.From, Kind: Push, Seq: m.Seq, Digest: t.store.digest, Behind: !t.current()}
	if m.Digest != t.store.digest {
		out.Records = t.store.records(t.now)
	}
	t.send(out)
}

// vote answers an ask. A node that is behind does not answer: it may not know
// of a crash.
func (t *Tracker) vote(m Message) {
	if !t.current() {
		return
	}
	out := Message{To: m.From, Kind: Answer, Attempt: m.Attempt, Fingerprint: m.Fingerprint}
	e := t.store.get(m.Fingerprint)
	if e != nil {
		// The asking node may not have heard of a node that was lost.
		t.doubtLost(e)
		out.Records = []Record{e.record(t.now)}
	}
	all, _ := e.strikes()
	v := Vote{Fingerprint: m.Fingerprint, Attempt: m.Attempt, Lane: m.Lane, From: m.From, Born: m.Born}
	out.Granted = all < convicting && !t.flying(m.Fingerprint, m.Attempt) && t.holder.Ask(v, t.now)
	t.send(out)
}
