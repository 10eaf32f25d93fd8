package suspect

import "time"

// Step handles a message from a peer.
func (t *Tracker) Step(m Message, now time.Time) {
	t.setTime(now)
	if m.From == t.settings.Self {
		return
	}
	p := t.peers.received(&m, t.now)
	for _, r := range m.Records {
		t.learn(r, m.From)
	}
	switch m.Kind {
	case Alert:
		t.send(Message{To: m.From, Kind: AlertAck, Seq: m.Seq})
	case AlertAck:
		if p != nil {
			p.handleAck(m.Seq)
		}
	case Pull:
		t.answerPull(m)
	case Push:
		t.handlePush(m)
	case VoteRequest:
		t.answerVoteRequest(m)
	case VoteReply:
		t.handleVoteReply(m)
	case VoteRelease:
		t.votes.Release(m.Fingerprint, m.Attempt, m.From)
		t.send(Message{To: m.From, Kind: VoteReleaseAck, Seq: m.Seq})
	case VoteReleaseAck:
		t.handleVoteReleaseAck(m)
	case Leaving:
		if p != nil {
			p.left = true
		}
	}
	t.advance()
}

// answerPull answers a pull, with all records if the peer's digest differs.
func (t *Tracker) answerPull(m Message) {
	out := Message{To: m.From, Kind: Push, Seq: m.Seq, Digest: t.store.digest, Behind: !t.upToDate()}
	if m.Digest != t.store.digest {
		out.Records = t.store.records(t.now)
	}
	t.send(out)
}

// answerVoteRequest answers a request for a vote. A node that is behind does not answer,
// because it may not know of a crash.
func (t *Tracker) answerVoteRequest(m Message) {
	if !t.upToDate() {
		return
	}
	out := Message{To: m.From, Kind: VoteReply, Attempt: m.Attempt, Fingerprint: m.Fingerprint}
	e := t.store.get(m.Fingerprint)
	if e != nil {
		// The node that asks may not know yet that another one was lost.
		t.doubtLost(e)
		out.Records = []Record{e.record(t.now)}
	}
	all, _ := e.crashCount()
	v := Vote{Fingerprint: m.Fingerprint, Attempt: m.Attempt, Lane: m.Lane, From: m.From, Born: m.Born}
	out.Granted = all < convictionCrashes && !t.inFlight(m.Fingerprint, m.Attempt) && t.votes.Grant(v, t.now)
	t.send(out)
}
