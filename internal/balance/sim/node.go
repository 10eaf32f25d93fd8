package sim

import (
	"time"

	"github.com/hickorybank/hickorybank/internal/admission"
	"github.com/hickorybank/hickorybank/internal/balance"
	"github.com/hickorybank/hickorybank/internal/platform"
)

const (
	// pollTick is how often a node asks its balancer for polls, and its queue
	// for what is due.
	pollTick = 100 * time.Millisecond
	// retryUnknown is when a caller comes back after a failure without a hint.
	retryUnknown = time.Second
)

// node is one entry node.
type node struct {
	w       *world
	vm      platform.VM
	domain  int
	balance *balance.Balancer
	queue   *admission.Queue
	budget  *admission.RetryBudget
	waiting map[string]*job
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
		waiting: map[string]*job{},
	}
}

func (n *node) tick() {
	n.w.after(pollTick, n.tick)
	for _, vm := range n.balance.NeedPoll(n.w.time()) {
		n.poll(n.w.byID[vm.ID])
	}
	if !n.w.cfg.LatencyOnly {
		n.observe()
	}
	if at, any := n.queue.Wake(); any && !at.After(n.w.time()) {
		n.decide(n.queue.Next(n.w.time()))
	}
}

// observe tells the queue what the upstreams reported.
func (n *node) observe() {
	now := n.w.time()
	for i := range n.w.cfg.Deployment.Classes {
		c := &n.w.cfg.Deployment.Classes[i]
		l := n.balance.PoolLoad(c.Version, c.Service, now)
		n.queue.Observe(n.pool(&job{class: c}), admission.PoolLoad(l))
	}
	n.decide(n.queue.Next(now))
}

func (n *node) poll(s *server) {
	n.w.result.Polls++
	way := n.w.delay(n.domain, s.domain)
	n.w.after(way, func() {
		if s.down {
			n.w.after(way, func() { n.balance.PollFailed(s.vm.ID, n.w.time()) })
			return
		}
		r := s.report()
		n.w.after(way, func() { n.balance.Report(s.vm.ID, r, n.w.time()) })
	})
}

// offer takes a caller's request.
func (n *node) offer(j *job) {
	now := n.w.time()
	n.budget.CountFirst(now)
	if n.w.cfg.NoAdmission {
		n.run(j)
		return
	}
	d := n.queue.Offer(admission.Request{
		ID: j.admissionID(), Org: orgName(j.org), Weight: n.w.cfg.Deployment.Weights[j.org], Kind: j.class.Kind,
		Pool: n.pool(j), Deadline: n.w.base.Add(j.deadline), Cost: n.w.costOf(j), Now: now,
	})
	switch d.Verdict {
	case admission.Run:
		n.run(j)
	case admission.Queued:
		n.waiting[d.ID] = j
	default:
		n.w.refused(j, d.RetryAfter)
	}
}

func (n *node) pool(j *job) string {
	if j.class.Service != "" {
		return j.class.Service
	}
	if n.w.cfg.PoolPerVersion {
		return j.class.Version
	}
	return n.balance.PoolName(j.class.Version)
}

func (n *node) decide(list []admission.Decision) {
	for _, d := range list {
		j := n.waiting[d.ID]
		if j == nil {
			continue
		}
		delete(n.waiting, d.ID)
		if d.Verdict == admission.Run {
			n.run(j)
		} else {
			n.w.refused(j, d.RetryAfter)
		}
	}
}

func (n *node) run(j *job) {
	j.running = true
	n.attempt(j)
}

// attempt sends the job to an upstream.
func (n *node) attempt(j *job) {
	pick, ok := n.balance.Pick(balance.Request{
		Version: j.class.Version, Service: j.class.Service, PrefixHash: j.prefix, Kind: j.class.Kind,
		Exclude: j.exclude, Now: n.w.time(), Random: n.w.random.Uint64(),
	})
	if !ok {
		n.end(j, admission.Sample{})
		n.w.failed(j, pick.Shortage.RetryAfter)
		return
	}
	n.w.result.Attempts++
	if j.attempts == 0 {
		n.w.result.Admitted++
	}
	if j.class.Version != "" {
		n.w.result.at(n.w.now).attempts++
	}
	j.attempts++
	j.token = pick.Token
	j.server = n.w.byID[pick.VM.ID]
	n.w.result.sent(j.server)
	j.sent = n.w.now
	j.first = 0
	s, try := j.server, j.tries
	n.w.after(n.w.delay(n.domain, s.domain), func() {
		if !j.over && j.tries == try {
			s.take(j)
		}
	})
}

// heard takes what the upstream says.
func (n *node) heard(j *job, a answer) {
	now := n.w.time()
	if a == first {
		j.first = n.w.now
		n.balance.FirstToken(j.token, n.w.now-j.sent, now)
		return
	}
	r := balance.Result{Outcome: a.outcome(), Latency: n.w.now - j.sent}
	if a == whole && j.class.Service == "" {
		r.FirstToken = j.first - j.sent
		r.Tokens = j.tokens
	}
	n.balance.Done(j.token, r, now)
	switch a {
	case whole:
		n.end(j, n.sample(j))
		n.w.completed(j)
	case broken:
		n.w.result.Broken++
		n.end(j, admission.Sample{})
		n.w.failed(j, retryUnknown)
	default:
		n.again(j, a)
	}
}

func (n *node) sample(j *job) admission.Sample {
	s := admission.Sample{FirstToken: j.first - j.sent, Total: n.w.now - j.sent}
	if j.class.Service != "" {
		s.FirstToken = s.Total
	}
	return s
}

// again retries an attempt of which nothing ran.
func (n *node) again(j *job, a answer) {
	j.exclude = append(j.exclude, j.server.vm.ID)
	if j.attempts <= n.w.cfg.Retries && (!n.w.cfg.RetryBudget || n.budget.Allow(n.w.time())) {
		n.attempt(j)
		return
	}
	n.end(j, admission.Sample{Overloaded: a == declined})
	n.w.failed(j, retryUnknown)
}

// end gives the job's place back.
func (n *node) end(j *job, s admission.Sample) {
	j.running = false
	if n.w.cfg.NoAdmission {
		return
	}
	n.queue.Finish(j.admissionID(), s, n.w.time())
	n.decide(n.queue.Next(n.w.time()))
}

// expire ends a job whose deadline has come.
func (n *node) expire(j *job) {
	now := n.w.time()
	if j.running {
		n.balance.Done(j.token, balance.Result{Outcome: balance.Abandoned}, now)
		s := j.server
		n.w.after(n.w.delay(n.domain, s.domain), func() { s.cancel(j) })
	}
	delete(n.waiting, j.admissionID())
	j.running = false
	if !n.w.cfg.NoAdmission {
		n.queue.Cancel(j.admissionID(), now)
		n.decide(n.queue.Next(now))
	}
}
