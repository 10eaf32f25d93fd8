package sim

import (
	"time"

	"github.com/hickorybank/hickorybank/internal/admission"
	"github.com/hickorybank/hickorybank/internal/balance"
	"github.com/hickorybank/hickorybank/internal/platform"
)

const (
	// tickInterval is how often a node polls the upstreams that its balancer names, and
	// runs its admission queue.
	tickInterval = 100 * time.Millisecond
	// defaultRetryAfter is the Retry-After of failures for which no better value is
	// known.
	defaultRetryAfter = time.Second
)

// node is one entry node.
type node struct {
	w       *world
	vm      platform.VM
	domain  int
	balance *balance.Balancer
	queue   *admission.Queue
	budget  *admission.RetryBudget
	queued  map[string]*job
}

func newNode(w *world, vm platform.VM, domain int) *node {
	s := w.cfg.Balance
	s.Seed = uint64(domain) + w.cfg.Seed
	s.SelfID = vm.ID
	s.SelfDomain = vm.FailureDomain
	return &node{
		w: w, vm: vm, domain: domain,
		balance: balance.New(s),
		queue:   admission.New(w.cfg.Admission),
		budget:  admission.NewRetryBudget(admission.RetrySettings{}),
		queued:  map[string]*job{},
	}
}

func (n *node) tick() {
	n.w.after(tickInterval, n.tick)
	for _, vm := range n.balance.NeedPoll(n.w.time()) {
		n.poll(n.w.byID[vm.ID])
	}
	if !n.w.cfg.LatencyOnly {
		n.observeLoad()
	}
	if at, any := n.queue.Wake(); any && !at.After(n.w.time()) {
		n.applyDecisions(n.queue.Next(n.w.time()))
	}
}

// observeLoad passes the reported load of each pool to the admission queue.
func (n *node) observeLoad() {
	now := n.w.time()
	for i := range n.w.cfg.Deployment.Classes {
		c := &n.w.cfg.Deployment.Classes[i]
		l := n.balance.PoolLoad(c.Version, c.Service, now)
		n.queue.Observe(n.pool(&job{class: c}), admission.PoolLoad(l))
	}
	n.applyDecisions(n.queue.Next(now))
}

// poll requests a load report from an upstream.
func (n *node) poll(s *server) {
	n.w.result.Polls++
	delay := n.w.delay(n.domain, s.domain)
	n.w.after(delay, func() {
		if s.down {
			n.w.after(delay, func() { n.balance.PollFailed(s.vm.ID, n.w.time()) })
			return
		}
		r := s.report()
		n.w.after(delay, func() { n.balance.Report(s.vm.ID, r, n.w.time()) })
	})
}

// offer submits a try to the admission queue.
func (n *node) offer(j *job) {
	now := n.w.time()
	n.budget.CountFirst(now)
	if n.w.cfg.NoAdmission {
		n.run(j)
		return
	}
	d := n.queue.Offer(admission.Request{
		ID: j.admissionID(), Org: orgName(j.org), Weight: n.w.cfg.Deployment.Weights[j.org], Kind: j.class.Kind,
		Pool: n.pool(j), Deadline: n.w.startTime.Add(j.deadline), Cost: n.w.relativeCost(j), Now: now,
	})
	switch d.Verdict {
	case admission.Run:
		n.run(j)
	case admission.Queued:
		n.queued[d.ID] = j
	default:
		n.w.tryRefused(j, d.RetryAfter)
	}
}

// pool returns the name of the job's pool in the admission queue.
func (n *node) pool(j *job) string {
	if j.class.Service != "" {
		return j.class.Service
	}
	if n.w.cfg.PoolPerVersion {
		return j.class.Version
	}
	return n.balance.PoolName(j.class.Version)
}

func (n *node) applyDecisions(list []admission.Decision) {
	for _, d := range list {
		j := n.queued[d.ID]
		if j == nil {
			continue
		}
		delete(n.queued, d.ID)
		if d.Verdict == admission.Run {
			n.run(j)
		} else {
			n.w.tryRefused(j, d.RetryAfter)
		}
	}
}

func (n *node) run(j *job) {
	j.running = true
	n.attempt(j)
}

// attempt picks an upstream and sends the job to it.
func (n *node) attempt(j *job) {
	pick, ok := n.balance.Pick(balance.Request{
		Version: j.class.Version, Service: j.class.Service, PrefixHash: j.prefix, Kind: j.class.Kind,
		Exclude: j.exclude, Now: n.w.time(), Random: n.w.random.Uint64(),
	})
	if !ok {
		n.finish(j, admission.Sample{})
		n.w.tryFailed(j, pick.Shortage.RetryAfter)
		return
	}
	n.w.result.Attempts++
	if j.attempts == 0 {
		n.w.result.Admitted++
	}
	if j.class.Version != "" {
		n.w.result.secondAt(n.w.now).attempts++
	}
	j.attempts++
	j.token = pick.Token
	j.server = n.w.byID[pick.VM.ID]
	n.w.result.countAttempt(j.server)
	j.sentAt = n.w.now
	j.firstTokenAt = 0
	s, tryIndex := j.server, j.tries
	n.w.after(n.w.delay(n.domain, s.domain), func() {
		if !j.ended && j.tries == tryIndex {
			s.receive(j)
		}
	})
}

// handleReply processes a reply of the upstream.
func (n *node) handleReply(j *job, r reply) {
	now := n.w.time()
	if r == replyFirstToken {
		j.firstTokenAt = n.w.now
		n.balance.FirstToken(j.token, n.w.now-j.sentAt, now)
		return
	}
	result := balance.Result{Outcome: r.outcome(), Latency: n.w.now - j.sentAt}
	if r == replyCompleted && j.class.Service == "" {
		result.FirstToken = j.firstTokenAt - j.sentAt
		result.Tokens = j.tokens
	}
	n.balance.Done(j.token, result, now)
	switch r {
	case replyCompleted:
		n.finish(j, n.sample(j))
		n.w.tryCompleted(j)
	case replyBroken:
		n.w.result.Broken++
		n.finish(j, admission.Sample{})
		n.w.tryFailed(j, defaultRetryAfter)
	default:
		n.retryOrFail(j, r)
	}
}

func (n *node) sample(j *job) admission.Sample {
	s := admission.Sample{FirstToken: j.firstTokenAt - j.sentAt, Total: n.w.now - j.sentAt}
	if j.class.Service != "" {
		s.FirstToken = s.Total
	}
	return s
}

// retryOrFail retries an attempt of which nothing ran, if the limits allow it, and
// otherwise fails the try.
func (n *node) retryOrFail(j *job, r reply) {
	j.exclude = append(j.exclude, j.server.vm.ID)
	if j.attempts <= n.w.cfg.Retries && (!n.w.cfg.RetryBudget || n.budget.Allow(n.w.time())) {
		n.attempt(j)
		return
	}
	n.finish(j, admission.Sample{Overloaded: r == replyDeclined})
	n.w.tryFailed(j, defaultRetryAfter)
}

// finish releases the job's slot in the admission queue.
func (n *node) finish(j *job, s admission.Sample) {
	j.running = false
	if n.w.cfg.NoAdmission {
		return
	}
	n.queue.Finish(j.admissionID(), s, n.w.time())
	n.applyDecisions(n.queue.Next(n.w.time()))
}

// expire ends a try whose deadline has passed.
func (n *node) expire(j *job) {
	now := n.w.time()
	if j.running {
		n.balance.Done(j.token, balance.Result{Outcome: balance.Abandoned}, now)
		s := j.server
		n.w.after(n.w.delay(n.domain, s.domain), func() { s.cancel(j) })
	}
	delete(n.queued, j.admissionID())
	j.running = false
	if !n.w.cfg.NoAdmission {
		n.queue.Cancel(j.admissionID(), now)
		n.applyDecisions(n.queue.Next(now))
	}
}
