package node

import (
	"cmp"
	"context"
	"log/slog"
	"math/rand/v2"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/hickorybank/hickorybank/internal/crashguard"
	"github.com/hickorybank/hickorybank/internal/event"
	"github.com/hickorybank/hickorybank/internal/membership"
	"github.com/hickorybank/hickorybank/internal/request"
)

const (
	crashService      = "Crashes"
	crashExchange     = crashService + ".Exchange"
	crashGrant        = crashService + ".Grant"
	crashCallTimeout  = time.Second
	crashNewsInterval = 250 * time.Millisecond
	// crashInterval is the pause between two exchanges without news, by which nodes that start
	// or return from a network partition learn what others know.
	crashInterval  = time.Second
	crashNewsPeers = 2
	// answerProofTime is how long after its first chunk an attempt shows that the messages of its
	// prompt do not crash the upstream.
	answerProofTime = 250 * time.Millisecond
	// maxChainMessages bounds the messages of a chat that are watched for crashes.
	maxChainMessages = 64
	// crashRetryAfter is the RetryAfter of requests with a convicted message,
	// quarantineRetryAfter that of those with a quarantined one.
	crashRetryAfter      = 30 * time.Second
	quarantineRetryAfter = time.Second
)

// crashParts finds the messages that crash upstreams in requests that share nothing else, and
// exchanges the evidence with peers.
type crashParts struct {
	node *Node
	news chan struct{}

	mu    sync.Mutex
	guard *crashguard.Guard
	all   []membership.Member // sorted by ID
	addrs []string            // of the peers that are called
}

func newCrashParts(n *Node) *crashParts {
	return &crashParts{node: n, news: make(chan struct{}, 1), guard: crashguard.New()}
}

// chainOf returns the keys of a chat: all messages but the last, and the request.
func chainOf(messages []uint64, f request.Fingerprint) (chain crashguard.Chain) {
	for _, m := range messages[:min(len(messages), maxChainMessages)] {
		chain = append(chain, crashguard.PartKey(strconv.FormatUint(m, 16)))
	}
	return append(chain, crashguard.RequestKey("", "", f[:]))
}

// setPeers sets the nodes. Of a ring of all, sorted by ID, those at distances 1, 2, 4, ... are
// called: the connections of a node do not grow with the fleet, and news reaches all in as many
// rounds as there are distances.
func (c *crashParts) setPeers(v *membership.View) {
	all := slices.SortedFunc(slices.Values(v.Entries), func(a, b membership.Member) int { return cmp.Compare(a.ID, b.ID) })
	self := slices.IndexFunc(all, func(m membership.Member) bool { return m.ID == c.node.settings.ID })
	c.mu.Lock()
	defer c.mu.Unlock()
	c.all, c.addrs = all, nil
	for distance := 1; self >= 0 && distance < len(all); distance *= 2 {
		c.addrs = append(c.addrs, all[(self+distance)%len(all)].Peer)
	}
}

// mayRun returns the refusal of a chat that contains a blocked message, or nil if it may run. A
// trial is asked for when the chat is about to be sent.
func (c *crashParts) mayRun(r *chatRun, sending bool) *request.Failure {
	now := time.Now()
	c.mu.Lock()
	keys := c.guard.Blocking(r.chain, now)
	runs := len(keys) == 0 || len(keys) == 1 && !r.struck && r.trial == keys[0]
	due := !runs && len(keys) == 1 && !r.struck && c.guard.TrialDue(r.chain, keys[0], now)
	retryAfter := crashRetryAfter
	if len(keys) > 0 && !c.guard.IsConvicted(keys[0]) {
		retryAfter = quarantineRetryAfter
	}
	c.mu.Unlock()
	if runs || due && (!sending || c.beginTrial(r, keys[0])) {
		return nil
	}
	return request.Refuse(request.CodeSuspect, retryAfter, "requests like this one crash upstreams")
}

// countTrial counts a trial once it may have run.
func (c *crashParts) countTrial(r *chatRun) {
	if r.trial == 0 || r.trialCounted {
		return
	}
	r.trialCounted = true
	c.mu.Lock()
	defer c.mu.Unlock()
	c.guard.CountTrial(r.trial)
	c.node.recorder.noteEvidence()
	c.wake()
}

// endTrial records the end of a chat that was let through and did not run.
func (c *crashParts) endTrial(r *chatRun) {
	if r.trial == 0 || r.trialCounted {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.guard.DeclineTrial(r.trial)
	c.node.recorder.noteEvidence()
}

// crashed records that the upstream of a chat's attempt has crashed.
func (c *crashParts) crashed(r *chatRun) {
	a, now := r.current, time.Now()
	chain := r.chain
	if a.firstToken > 0 && now.Sub(a.began)-a.firstToken >= answerProofTime {
		chain = chain.Request()
	} else {
		r.struck = true
	}
	id := crashguard.NewCrashID(a.vm.ID + "/" + strconv.FormatUint(a.epoch, 10))
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.guard.Strike(id, chain, a.began, now, now) {
		c.node.recorder.noteEvidence()
		c.wake()
	}
}

// answered records that an upstream began to answer requests with these keys at the given time.
func (c *crashParts) answered(chain crashguard.Chain, at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.guard.Answered(chain, at, time.Now()) {
		c.wake()
	}
}

func (c *crashParts) wake() {
	select {
	case c.news <- struct{}{}:
	default:
	}
}

// run exchanges the evidence with peers until ctx ends.
func (c *crashParts) run(ctx context.Context) {
	timer := time.NewTimer(crashInterval)
	defer timer.Stop()
	for {
		peers := 1
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		case <-c.news:
			peers = crashNewsPeers
		}
		for _, addr := range c.pickPeers(peers) {
			c.node.duties.Go(func() { c.exchange(ctx, addr) })
		}
		c.logVerdicts()
		if !pause(ctx, crashNewsInterval) {
			return
		}
		timer.Reset(crashInterval)
	}
}

func (c *crashParts) pickPeers(count int) (picked []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for range min(count, len(c.addrs)) {
		picked = append(picked, c.addrs[rand.IntN(len(c.addrs))])
	}
	return picked
}

func (c *crashParts) exchange(ctx context.Context, addr string) {
	ctx, cancel := context.WithTimeout(ctx, crashCallTimeout)
	defer cancel()
	c.mu.Lock()
	out := c.guard.Report(time.Now())
	c.mu.Unlock()
	var in crashguard.Report
	if c.node.pool.Call(ctx, addr, crashExchange, &out, &in) != nil {
		return // another peer is called next time
	}
	c.merge(in)
}

func (c *crashParts) merge(in crashguard.Report) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.guard.Merge(in, time.Now()) {
		c.wake()
	}
}

// crashEvents are the events of keys' new states.
var crashEvents = map[crashguard.State]event.Event{
	crashguard.Cleared: event.CrashAcquitted, crashguard.Quarantined: event.CrashQuarantined, crashguard.Convicted: event.CrashConvicted,
}

func (c *crashParts) logVerdicts() {
	c.mu.Lock()
	verdicts := c.guard.TakeVerdicts(time.Now())
	c.mu.Unlock()
	for _, v := range verdicts {
		crashEvents[v.State].Log(c.node.deps.Log, slog.String("key", crashKeyText(v.Key)), slog.Int("strikes", v.Strikes), slog.Int("cleared", v.Cleared), slog.Int("trials", v.Trials))
	}
}

func crashKeyText(key crashguard.Key) string {
	return strconv.FormatUint(uint64(key), 16)
}

// crashReceiver is the RPC receiver for the reports of peers.
type crashReceiver struct{ c *crashParts }

// Exchange merges a peer's report and returns this node's. It never returns an error.
func (r *crashReceiver) Exchange(in *crashguard.Report, out *crashguard.Report) error {
	r.c.merge(*in)
	r.c.mu.Lock()
	defer r.c.mu.Unlock()
	*out = r.c.guard.Report(time.Now())
	return nil
}

// Grant answers a node that asks for a trial of a key. It never returns an error.
func (r *crashReceiver) Grant(in *crashguard.TrialRequest, out *bool) error {
	*out = r.c.grant(*in)
	return nil
}
