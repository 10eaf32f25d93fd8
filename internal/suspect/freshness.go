package suspect

import "time"

// pullsWhenBehind is how many peers are pulled from at once by a node that is
// behind.
const pullsWhenBehind = 3

// freshness is how much a node may still not know.
//
// It guards against a node that was paused or cut off while the others were
// told of a suspect, and is sent that request as soon as it runs again. It
// shows as no answer of a peer to a question younger than Lapse. Every peer
// that told its caller of a crash has waited longer than that for this node,
// so an answer to a younger question holds what it did not hear.
type freshness struct {
	// asOf is when the last question was asked that a peer has answered.
	asOf time.Duration
	any  bool
	// behindSince is when the node was first found to be behind; 0 when fresh.
	behindSince time.Duration
	// answered are the peers that answered, though behind themselves.
	answered map[string]bool
	// alone says that no peer answered for long: the node is on its own side
	// of whatever cut it off.
	alone bool

	pulls map[uint64]pull
	last  time.Duration
	next  int
	// idle says that the last pull was answered.
	idle bool
}

// pull is a question to a peer that has not been answered.
type pull struct {
	peer string
	at   time.Duration
}

// fresh says whether this node may run work that it does not know of.
func (t *Tracker) fresh() bool { return t.freshness.alone || t.current() }

// current says whether this node knows what the others know.
func (t *Tracker) current() bool {
	f := &t.freshness
	if len(t.peers.all) == 0 || !t.settings.has(guardFresh) {
		return true
	}
	return f.any && t.now-f.asOf <= t.settings.Lapse
}

// pullIfDue asks one peer after the other for what this node lacks.
func (t *Tracker) pullIfDue() {
	f := &t.freshness
	t.watchFreshness()
	n := len(t.peers.neighbours)
	if n == 0 || t.now < f.last+t.pullGap() {
		return
	}
	f.last = t.now
	f.idle = false
	count := 1
	if f.behindSince != 0 {
		count = min(n, pullsWhenBehind)
	}
	for range count {
		p := t.peers.neighbours[f.next%n]
		f.next++
		seq := t.nextSeq()
		f.pulls[seq] = pull{peer: p.id, at: t.now}
		t.send(Message{To: p.id, Kind: Pull, Seq: seq, Digest: t.store.digest, Behind: f.behindSince != 0})
	}
}

func (t *Tracker) pullGap() time.Duration {
	if t.freshness.idle && t.freshness.behindSince == 0 {
		return t.settings.Beat
	}
	return t.settings.Resend
}

// watchFreshness notes since when the node is behind, and gives up on peers
// that do not answer.
func (t *Tracker) watchFreshness() {
	f := &t.freshness
	for seq, p := range f.pulls {
		if t.now > p.at+t.settings.Lapse {
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
		f.answered = map[string]bool{}
	}
	if t.now > f.behindSince+2*t.settings.Lapse {
		f.alone = true
		f.behindSince = 0
	}
}

// pulled takes the answer to a pull.
func (t *Tracker) pulled(m Message) {
	f := &t.freshness
	p, ok := f.pulls[m.Seq]
	if !ok || p.peer != m.From {
		return
	}
	delete(f.pulls, m.Seq)
	f.idle = true
	f.alone = false
	if m.Behind {
		t.answeredBehind(m.From, p.at)
		return
	}
	if !f.any || p.at > f.asOf {
		f.asOf = p.at
		f.any = true
	}
}

// answeredBehind counts a peer that is behind itself. When all of them have
// answered, what they hold together is all that there is: so a fleet that was
// started at once does not wait for a node that knows more.
func (t *Tracker) answeredBehind(id string, at time.Duration) {
	f := &t.freshness
	if f.behindSince == 0 || at < f.behindSince {
		return
	}
	f.answered[id] = true
	for _, p := range t.peers.neighbours {
		if !f.answered[p.id] {
			return
		}
	}
	f.asOf = at
	f.any = true
}
