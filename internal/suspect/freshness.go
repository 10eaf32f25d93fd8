package suspect

import "time"

// pullsWhenBehind is how many peers a node that is behind pulls from at once.
const pullsWhenBehind = 3

// freshness is how recently the node has received what its peers know.
//
// It prevents a node that was paused or cut off while the others learned of a suspect
// from running the request as soon as it runs again. Such a node has no answer to a pull
// younger than FreshnessTTL. A peer that reported a crash to its caller has waited longer
// than that for this node, so the answer to a younger pull contains what the node missed.
type freshness struct {
	// asOf is when the last pull was sent that a peer has answered; known is set once
	// there was one.
	asOf  time.Duration
	known bool
	// behindSince is when the node was first found to be behind; 0 when fresh.
	behindSince time.Duration
	// answered is when the last pull was sent that each peer answered although it is behind
	// itself.
	answered map[string]time.Duration
	// isolated is set if no peer has answered for long: the node is alone on its side of
	// a network partition.
	isolated bool

	pulls    map[uint64]pull
	lastPull time.Duration
	nextPeer int
	// lastPullAnswered is set once the last pull was answered.
	lastPullAnswered bool
}

// pull is a question for records that has not been answered.
type pull struct {
	peer string
	at   time.Duration
}

// fresh reports whether this node may run requests that it knows nothing of.
func (t *Tracker) fresh() bool { return t.freshness.isolated || t.upToDate() }

// upToDate reports whether this node knows what the others know.
func (t *Tracker) upToDate() bool {
	f := &t.freshness
	if len(t.peers.all) == 0 || !t.settings.applies(ruleFreshness) {
		return true
	}
	return f.known && t.now-f.asOf <= t.settings.FreshnessTTL
}

// pullIfDue asks one peer after the other for the records that this node lacks.
func (t *Tracker) pullIfDue() {
	f := &t.freshness
	t.updateFreshness()
	n := len(t.peers.neighbours)
	if n == 0 || t.now < f.lastPull+t.pullInterval() {
		return
	}
	f.lastPull = t.now
	f.lastPullAnswered = false
	count := 1
	if f.behindSince != 0 {
		count = min(n, pullsWhenBehind)
	}
	for range count {
		p := t.peers.neighbours[f.nextPeer%n]
		f.nextPeer++
		seq := t.nextSeq()
		f.pulls[seq] = pull{peer: p.id, at: t.now}
		t.send(Message{To: p.id, Kind: Pull, Seq: seq, Digest: t.store.digest, Behind: f.behindSince != 0})
	}
}

func (t *Tracker) pullInterval() time.Duration {
	if t.freshness.lastPullAnswered && t.freshness.behindSince == 0 {
		return t.settings.PullInterval
	}
	return t.settings.ResendInterval
}

// updateFreshness records since when the node is behind, and gives up on peers that do
// not answer.
func (t *Tracker) updateFreshness() {
	f := &t.freshness
	for seq, p := range f.pulls {
		if t.now > p.at+t.settings.FreshnessTTL {
			delete(f.pulls, seq)
		}
	}
	if t.fresh() {
		f.behindSince = 0
		f.answered = nil
		return
	}
	if f.behindSince == 0 {
		f.behindSince = max(t.now, 1)
		f.answered = map[string]time.Duration{}
	}
	if t.now > f.behindSince+2*t.settings.FreshnessTTL {
		t.goOnWithoutSilentPeers()
	}
}

// goOnWithoutSilentPeers ends the wait for peers that do not answer: they are on the other
// side of a network partition. The peers that answer are behind themselves, and know
// together with this node what is known on this side. Without any, the node is isolated.
func (t *Tracker) goOnWithoutSilentPeers() {
	f := &t.freshness
	f.behindSince = 0
	oldest, some := t.now, false
	for _, at := range f.answered {
		if t.now-at <= t.settings.FreshnessTTL {
			oldest, some = min(oldest, at), true
		}
	}
	if !some {
		f.isolated = true
		return
	}
	f.asOf = oldest
	f.known = true
}

// handlePush handles the answer to a pull.
func (t *Tracker) handlePush(m Message) {
	f := &t.freshness
	p, ok := f.pulls[m.Seq]
	if !ok || p.peer != m.From {
		return
	}
	delete(f.pulls, m.Seq)
	f.lastPullAnswered = true
	f.isolated = false
	if m.Behind {
		t.handleBehindPush(m.From, p.at)
		return
	}
	if !f.known || p.at > f.asOf {
		f.asOf = p.at
		f.known = true
	}
}

// handleBehindPush records the answer of a peer that is behind itself. Once all of them
// have answered, no node knows more than they do together. So nodes that were all started
// at once do not wait for one that knows more.
func (t *Tracker) handleBehindPush(id string, at time.Duration) {
	f := &t.freshness
	if f.behindSince == 0 || at < f.behindSince {
		return
	}
	f.answered[id] = max(f.answered[id], at)
	for _, p := range t.peers.neighbours {
		if _, ok := f.answered[p.id]; !ok {
			return
		}
	}
	f.asOf = at
	f.known = true
}
