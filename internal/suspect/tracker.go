package suspect

import (
	"time"

	"github.com/hickorybank/hickorybank/internal/request"
)

// Tracker guards the upstreams at one node. See the package for who may call
// it.
type Tracker struct {
	settings Settings
	base     time.Time
	now      time.Duration

	store   store
	recent  completed
	holder  *Holder
	peers   peers
	flights map[string]*flight
	burst   burst

	freshness freshness
	waiting   []waiter
	asks      []*ask
	releases  []*release
	losses    []*loss
	// untold are the peers that have not acknowledged all news.
	untold []*peer

	seq uint64
	out Ready
}

// waiter is an attempt that waits until the node is fresh.
type waiter struct {
	attempt     string
	fingerprint request.Fingerprint
	lane        string
}

// New returns a tracker that knows no suspect and no peer.
func New(s Settings, now time.Time) *Tracker {
	t := &Tracker{
		settings: s.withDefaults(now),
		base:     now,
		flights:  map[string]*flight{},
	}
	t.store = newStore(&t.settings)
	t.holder = NewHolder(t.settings.MaxRun)
	t.freshness.pulls = map[uint64]pull{}
	return t
}

// SetPeers takes the IDs of the entry nodes; self among them is passed over.
// Leave out only nodes that are known to be gone: one that is left out while
// it still runs work counts as lost.
func (t *Tracker) SetPeers(ids []string, now time.Time) {
	t.at(now)
	t.peers.set(ids, &t.settings)
	t.work()
}

// Tick lets time pass: call it every 50 ms or so.
func (t *Tracker) Tick(now time.Time) {
	t.at(now)
	t.work()
}

// Goodbye tells the peers that this node stops and has nothing in flight. A
// node that goes without it may have lost an upstream unseen, and suspects of
// that time are refused.
func (t *Tracker) Goodbye(now time.Time) {
	t.at(now)
	for _, p := range t.peers.all {
		t.send(Message{To: p.id, Kind: Bye})
	}
}

// Ready returns what is to be done, and forgets it. Call it after each other
// method.
func (t *Tracker) Ready() Ready {
	out := t.out
	t.out = Ready{}
	return out
}

// at sets the time; it never goes back.
func (t *Tracker) at(now time.Time) { t.now = max(t.now, now.Sub(t.base)) }

func (t *Tracker) send(m Message) {
	m.From = t.settings.Self
	m.Born = t.settings.Born
	t.out.Messages = append(t.out.Messages, m)
}

func (t *Tracker) nextSeq() uint64 {
	t.seq++
	return t.seq
}

func (t *Tracker) decide(d Decision) { t.out.Decisions = append(t.out.Decisions, d) }

// work does all that time or news has made due.
func (t *Tracker) work() {
	t.store.sweep(t.now)
	t.peers.forget(t.now - t.settings.Expiry - t.settings.MaxRun)
	t.expireVotes()
	t.pullIfDue()
	t.admitWaiting()
	t.driveAsks()
	t.driveReleases()
	t.alertPeers()
	t.releaseLosses()
}
