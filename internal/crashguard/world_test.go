package crashguard

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

const (
	worldTick = 10 * time.Millisecond
	// worldDowntime is how long an engine is down after a crash.
	worldDowntime = 2500 * time.Millisecond
	// worldNews and worldGossip are the pauses between two exchanges of a node with news and
	// of one without, worldPeers the peers of the former.
	worldNews   = 250 * time.Millisecond
	worldGossip = 600 * time.Millisecond
	worldPeers  = 2
	// worldProof is how long after its first event an attempt shows that its parts are sound.
	worldProof = 250 * time.Millisecond
)

// worldSpec describes nodes before engines that crash, in virtual time.
type worldSpec struct {
	nodes, engines int
	// soundPerSecond and badPerSecond are the rates of sound requests and of those with a bad
	// part, of all nodes together.
	soundPerSecond, badPerSecond float64
	// sound and bad return the shared parts of a request.
	sound, bad func(r *rand.Rand) []string
	// isBad reports whether a part crashes engines at a time since the beginning.
	isBad func(part string, at time.Duration) bool
	// losses are times at which a share of the engines crashes at once.
	losses []time.Duration
	share  float64
	// cutNodes nodes exchange nothing with the others from cutFrom until cutUntil.
	cutNodes          int
	cutFrom, cutUntil time.Duration
	// lost is the share of exchanges that fail.
	lost float64
	seed uint64
	// wave is a request that is sent several times at once; nil for none.
	wave *wave
	// hot is the share of sound requests that are one and the same, from hotFrom on.
	hot     float64
	hotFrom time.Duration
	// processLosses are times at which all processes are lost; see worldTable.
	processLosses []time.Duration
	// slow is the share of sound attempts that wait for long, and are moved.
	slow float64
}

type worldEngine struct {
	id       int
	upFrom   time.Duration
	attempts []*worldAttempt
}

type worldAttempt struct {
	node          int
	chain         Chain
	parts         []string
	bad           bool
	badPart       string
	sent          time.Duration
	begins, ends  time.Duration
	crashesAt     time.Duration
	crashes       int
	trial, proved bool
	first         bool
	// repeated is set for a caller's repeat.
	repeated bool
	// orphaned is set once its process is lost.
	orphaned bool
	// left is set once its node no longer waits for the attempt, movedFrom is the crash of the upstream that
	// the request was moved off before; 0 for none.
	left      bool
	movedFrom CrashID
	// moveAt is when the request is moved; 0 for never.
	moveAt time.Duration
}

// world plays a spec.
type world struct {
	worldSpec
	r       *rand.Rand
	now     time.Duration
	guards  []*Guard
	news    []bool
	next    []time.Duration
	engines []*worldEngine
	lives   int
	nextID  int

	// crashes and arrivals are the times of the crashes by bad parts, and of the requests with
	// them that reached engines, by part.
	crashes, arrivals map[string][]time.Duration
	// refused counts the first tries of sound requests that were refused for a conviction, by
	// second; sent all of them.
	refused, sent map[int]int
	// hotRefused counts the refused first tries of the hot request.
	hotRefused int
	// hotRefusedUp counts those of them while an engine was up.
	hotRefusedUp int
	exchanges    int
	sentKeys     int
	// notices are the crashes of upstreams that nodes with left attempts there will learn of.
	notices []worldNotice
	// table holds what nodes record; nil for none.
	table *worldTable
}

var worldEpoch = time.Unix(1_000_000, 0)

func (w *world) time() time.Time { return worldEpoch.Add(w.now) }

func newWorld(s worldSpec) *world {
	w := &world{worldSpec: s, r: rand.New(rand.NewPCG(s.seed, 1)), refused: map[int]int{}, sent: map[int]int{},
		crashes: map[string][]time.Duration{}, arrivals: map[string][]time.Duration{}}
	for i := range s.nodes {
		w.guards = append(w.guards, New())
		w.news = append(w.news, false)
		w.next = append(w.next, time.Duration(w.r.Int64N(int64(worldGossip))))
		_ = i
	}
	for range s.engines {
		w.lives++
		w.engines = append(w.engines, &worldEngine{id: w.lives})
	}
	return w
}

// run plays until a time.
func (w *world) run(until time.Duration) {
	for ; w.now < until; w.now += worldTick {
		for _, at := range w.losses {
			if at >= w.now && at < w.now+worldTick {
				w.lose()
			}
		}
		w.playTable()
		w.arrive(w.soundPerSecond, w.sound, false)
		w.arrive(w.badPerSecond, w.bad, true)
		w.sendWave()
		for _, e := range w.engines {
			w.moveAttempts(e)
			w.advance(e)
		}
		w.noticeCrashes()
		for i := range w.guards {
			if w.now >= w.next[i] && !w.areLost() {
				w.exchange(i)
			}
		}
	}
}

// lose lets a share of the engines crash at once.
func (w *world) lose() {
	var lost []*worldEngine
	for _, e := range w.engines {
		if w.r.Float64() < w.share && e.upFrom <= w.now {
			lost = append(lost, e)
			e.upFrom = w.now + worldDowntime
		}
	}
	for _, e := range lost {
		w.crash(e)
	}
}

func (w *world) arrive(perSecond float64, parts func(r *rand.Rand) []string, bad bool) {
	for mean := perSecond * worldTick.Seconds(); mean > 0; mean-- {
		if w.r.Float64() >= mean {
			continue
		}
		w.nextID++
		a := &worldAttempt{node: w.r.IntN(w.nodes), parts: parts(w.r), bad: bad, first: true}
		for _, p := range a.parts {
			a.chain = append(a.chain, PartKey(p))
		}
		a.chain = append(a.chain, RequestKey("org", "/", []byte(fmt.Sprint(w.nextID))))
		if !bad && w.now >= w.hotFrom && w.r.Float64() < w.hot {
			a.chain = hotRequest
		}
		if !bad {
			w.sent[int(w.now/time.Second)]++
		}
		w.send(a)
	}
}

// send sends an attempt to a random engine that is up, unless it is refused.
func (w *world) send(a *worldAttempt) {
	if w.areLost() {
		return
	}
	g := w.guards[a.node]
	keys := g.Blocking(a.chain, w.time())
	if len(keys) > 0 && (len(keys) > 1 || !a.first || !g.TrialDue(a.chain, keys[0], w.time())) {
		w.refuse(a)
		return
	}
	var up []*worldEngine
	for range 8 {
		if e := w.engines[w.r.IntN(len(w.engines))]; e.upFrom <= w.now {
			up = append(up, e)
			break
		}
	}
	if len(up) == 0 {
		return
	}
	if len(keys) > 0 {
		key := keys[0]
		if !w.grant(a.node, key) {
			g.DenyTrial(key, w.time())
			w.refuse(a)
			return
		}
		a.trial = true
		if g.BeginTrial(key, w.time()) && w.table != nil {
			w.save(a.node)
		}
		g.CountTrial(key)
		w.recordSoon(a.node)
		w.news[a.node] = true
	}
	a.first, a.proved, a.moveAt = false, false, 0
	// The crash before a repeat happened earlier in the tick.
	a.sent, a.begins, a.ends, a.crashesAt = w.now+worldTick/10, w.now+40*time.Millisecond+w.random(100), w.now+600*time.Millisecond, 0
	if i := slices.IndexFunc(a.parts, func(p string) bool { return w.isBad(p, w.now) }); i >= 0 {
		a.badPart = a.parts[i]
		w.arrivals[a.badPart] = append(w.arrivals[a.badPart], w.now)
		a.crashesAt = w.now + 30*time.Millisecond + w.random(200)
		a.begins, a.ends = a.crashesAt+time.Hour, a.crashesAt+time.Hour
	}
	if !a.bad && w.slow > 0 && a.movedFrom == 0 && w.r.Float64() < w.slow {
		a.begins, a.ends, a.moveAt = w.now+worldSlow, w.now+worldSlow+600*time.Millisecond, w.now+worldMove
	}
	if a.bad && w.wave != nil {
		w.runWave(a)
	}
	up[0].attempts = append(up[0].attempts, a)
}

func (w *world) refuse(a *worldAttempt) {
	if !a.bad && a.first {
		w.refused[int(w.now/time.Second)]++
		if a.chain[0] == hotRequest[0] {
			w.hotRefused++
			if slices.ContainsFunc(w.engines, func(e *worldEngine) bool { return e.upFrom <= w.now }) {
				w.hotRefusedUp++
			}
		}
	}
}

// grant asks the node that grants the trials of a key, the first by a hash of those in reach.
func (w *world) grant(node int, key Key) bool {
	holder, lowest := node, Key(0)
	for i := range w.nodes {
		if hash := PartKey(fmt.Sprint(i, key)); w.isCut(i) == w.isCut(node) && (lowest == 0 || hash < lowest) {
			holder, lowest = i, hash
		}
	}
	if holder != node && w.r.Float64() < w.lost {
		return false
	}
	return w.guards[holder].GrantTrial(w.guards[node].TrialRequest(key), w.time())
}

func (w *world) random(ms int) time.Duration {
	return time.Duration(w.r.IntN(ms)) * time.Millisecond
}

// advance lets an engine crash, and its attempts give events and end.
func (w *world) advance(e *worldEngine) {
	for _, a := range e.attempts {
		if a.crashesAt > 0 && w.now >= a.crashesAt {
			w.crashes[a.badPart] = append(w.crashes[a.badPart], w.now)
			w.crash(e)
			return
		}
	}
	e.attempts = slices.DeleteFunc(e.attempts, func(a *worldAttempt) bool {
		g := w.guards[a.node]
		if a.orphaned {
			return w.now >= a.ends
		}
		if !a.proved && w.now >= a.begins+worldProof {
			a.proved = true
			w.news[a.node] = g.Answered(a.chain.Parts(), worldEpoch.Add(a.begins), w.time()) || w.news[a.node]
		}
		if w.now < a.ends {
			return false
		}
		if a.left {
			return true
		}
		g.Answered(a.chain, worldEpoch.Add(a.begins), w.time())
		return true
	})
}

// crash strikes what ran on an engine, which is back after a while, and sends it elsewhere.
func (w *world) crash(e *worldEngine) {
	id := NewCrashID(fmt.Sprint("engine", e.id))
	running := e.attempts
	w.lives++
	e.id, e.attempts, e.upFrom = w.lives, nil, w.now+worldDowntime
	for _, a := range running {
		if a.orphaned {
			continue
		}
		if a.left {
			w.notices = append(w.notices, worldNotice{w.now + w.random(int(worldNoticed/time.Millisecond)), a.node, id})
			continue
		}
		chain := a.chain
		if w.now >= a.begins+worldProof {
			chain = chain.Request()
		} else {
			a.crashes++
		}
		if w.guards[a.node].Strike(id, chain, worldEpoch.Add(a.sent), w.time(), w.time()) {
			w.news[a.node] = true
			w.recordSoon(a.node)
		}
		if a.movedFrom != 0 && w.guards[a.node].Knows(a.movedFrom) {
			a.crashes++
			a.movedFrom = 0
		}
		if a.crashes < 2 && !a.trial {
			w.send(a)
		} else if a.bad && w.wave != nil && !a.repeated {
			again := w.waveAttempt(w.r.IntN(w.nodes)) // its caller's one repeat
			again.repeated = true
			w.send(again)
		}
	}
}

// exchange lets a node exchange reports with peers, if it has news or its pause is over.
func (w *world) exchange(i int) {
	peers := 1
	w.next[i] = w.now + worldGossip
	if w.news[i] {
		peers, w.news[i] = worldPeers, false
		w.next[i] = w.now + worldNews
	}
	for range peers {
		k := w.r.IntN(w.nodes)
		if k == i || w.r.Float64() < w.lost || w.isCut(i) != w.isCut(k) {
			continue
		}
		out := w.guards[i].Report(w.time())
		if len(out.Keys) > 0 || len(w.guards[k].keys) > 0 {
			w.exchanges++
			w.sentKeys += len(out.Keys)
		}
		if w.guards[k].Merge(out, w.time()) {
			w.wake(k)
		}
		if w.guards[i].Merge(w.guards[k].Report(w.time()), w.time()) {
			w.wake(i)
		}
	}
}

// wake lets a node exchange news soon.
func (w *world) wake(i int) {
	w.news[i] = true
	w.next[i] = min(w.next[i], w.now+worldNews)
}

func (w *world) isCut(i int) bool {
	return i < w.cutNodes && w.now >= w.cutFrom && w.now < w.cutUntil
}

// late returns the arrivals of requests with a bad part later than bound after a number of its
// crashes.
func (w *world) late(part string, crashes int, bound time.Duration) (late int) {
	if len(w.crashes[part]) < crashes {
		return 0
	}
	for _, at := range w.arrivals[part] {
		if at > w.crashes[part][crashes-1]+bound {
			late++
		}
	}
	return late
}

// convicted returns the parts, of some, that are convicted at any node.
func (w *world) convicted(parts []string) (names []string) {
	for _, p := range parts {
		for _, g := range w.guards {
			if len(g.Convicted(Chain{PartKey(p)}, w.time())) > 0 {
				names = append(names, p)
				break
			}
		}
	}
	return names
}

// refusedIn returns the share of sound first tries that were refused from one time until
// another.
func (w *world) refusedIn(from, until time.Duration) float64 {
	refused, sent := 0, 0
	for s := int(from / time.Second); s < int(until/time.Second); s++ {
		refused, sent = refused+w.refused[s], sent+w.sent[s]
	}
	return float64(refused) / float64(max(sent, 1))
}
