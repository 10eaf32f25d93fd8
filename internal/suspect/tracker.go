package suspect

import (
	"time"

	"github.com/hickorybank/hickorybank/internal/request"
)

// Tracker protects the upstreams at one node. It is not safe for concurrent use.
type Tracker struct {
	settings Settings
	base     time.Time
	now      time.Duration

	store       store
	completions completions
	votes       *VoteTable
	peers       peers
	flights     map[string]*flight
	burst       burst

	freshness    freshness
	waiting      []waiter
	ballots      []*ballot
	voteReleases []*voteRelease
	losses       []*loss
	// unacknowledged are the peers that have not acknowledged all records.
	unacknowledged []*peer

	seq   uint64
	ready Ready
}

// waiter is an attempt that waits until the node is fresh.
type waiter struct {
	attempt     string
	fingerprint request.Fingerprint
	lane        string
}

// New returns a tracker without suspects and peers.
func New(s Settings, now time.Time) *Tracker {
	t := &Tracker{
		settings: s.withDefaults(now),
		base:     now,
		flights:  map[string]*flight{},
	}
	t.store = newStore(&t.settings)
	t.votes = NewVoteTable(t.settings.MaxRun)
	t.freshness.pulls = map[uint64]pull{}
	return t
}

// SetPeers sets the IDs of the entry nodes; Self is ignored. Leave out only nodes that
// are known to be gone: one that is left out while it still runs work counts as lost.
func (t *Tracker) SetPeers(ids []string, now time.Time) {
	t.setTime(now)
	t.peers.set(ids, &t.settings)
	t.advance()
}

// Tick advances the time. It must be called about every 50 ms.
func (t *Tracker) Tick(now time.Time) {
	t.setTime(now)
	t.advance()
}

// Leave notifies the peers that this node stops and has nothing in flight. A node that stops
// without it may have lost an upstream unseen, and suspects of that time are refused.
func (t *Tracker) Leave(now time.Time) {
	t.setTime(now)
	for _, p := range t.peers.all {
		t.send(Message{To: p.id, Kind: Leaving})
	}
}

// Ready returns the pending output and clears it. It must be called after each other
// method.
func (t *Tracker) Ready() Ready {
	out := t.ready
	t.ready = Ready{}
	return out
}

// setTime sets the time; it never goes back.
func (t *Tracker) setTime(now time.Time) { t.now = max(t.now, now.Sub(t.base)) }

func (t *Tracker) send(m Message) {
	m.From = t.settings.Self
	m.Born = t.settings.Born
	t.ready.Messages = append(t.ready.Messages, m)
}

func (t *Tracker) nextSeq() uint64 {
	t.seq++
	return t.seq
}

func (t *Tracker) decide(d Decision) { t.ready.Decisions = append(t.ready.Decisions, d) }

// advance does everything that is due by the time and the records.
func (t *Tracker) advance() {
	t.store.removeExpired(t.now)
	t.peers.forgetLost(t.now - t.settings.RecordTTL - t.settings.MaxRun)
	t.doubtExpiredVotes()
	t.pullIfDue()
	t.admitWaiting()
	t.advanceBallots()
	t.sendVoteReleases()
	t.sendAlerts()
	t.reportLosses()
}
