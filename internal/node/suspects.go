package node

import (
	"context"
	"encoding/hex"
	"log/slog"
	"sync"
	"time"

	"github.com/hickorybank/hickorybank/internal/event"
	"github.com/hickorybank/hickorybank/internal/membership"
	"github.com/hickorybank/hickorybank/internal/request"
	"github.com/hickorybank/hickorybank/internal/suspect"
	"github.com/hickorybank/hickorybank/internal/upstream"
)

const (
	suspectService = "Suspect"
	suspectStep    = suspectService + ".Step"
	suspectTick    = 50 * time.Millisecond
	suspectTimeout = time.Second
	suspectRing    = 1024
)

// suspects owns the tracker of requests that crash upstreams and carries its
// messages.
type suspects struct {
	node *Node
	out  chan suspect.Message

	mu      sync.Mutex
	tracker *suspect.Tracker
	addrs   map[string]string // peer address by node
	waiting map[string]chan suspect.Decision
}

func newSuspects(n *Node) *suspects {
	return &suspects{
		node:    n,
		out:     make(chan suspect.Message, suspectRing),
		tracker: suspect.New(suspect.Settings{Self: n.settings.ID}, time.Now()),
		addrs:   map[string]string{},
		waiting: map[string]chan suspect.Decision{},
	}
}

func (s *suspects) setPeers(v *membership.View) {
	s.mu.Lock()
	defer s.mu.Unlock()
	ids := make([]string, 0, len(v.Entries))
	clear(s.addrs)
	for _, m := range v.Entries {
		s.addrs[m.ID] = m.Peer
		// One that cannot be reached at present may still run work: it
		// counts until the platform's list drops it.
		if m.ID != s.node.settings.ID {
			ids = append(ids, m.ID)
		}
	}
	s.tracker.SetPeers(ids, time.Now())
	s.flush()
}

// flush carries out what the tracker wants done; s.mu is held.
func (s *suspects) flush() {
	ready := s.tracker.Ready()
	for _, m := range ready.Messages {
		select {
		case s.out <- m:
		default: // the ring is full; the tracker sends again what it misses
		}
	}
	for _, f := range ready.Convicted {
		event.SuspectConvicted.Log(s.node.deps.Log, slog.String("fingerprint", hex.EncodeToString(f[:])))
	}
	for _, d := range ready.Decisions {
		if decided, ok := s.waiting[d.Attempt]; ok {
			delete(s.waiting, d.Attempt)
			decided <- d // has room for the one decision that it ever gets
		}
	}
}

// suspect says whether the request is known to have been at a crash, so that
// its upstream must be one with little else to lose.
func (s *suspects) suspect(f request.Fingerprint) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.tracker.IsSuspect(f)
}

// admit asks whether an attempt may run at an upstream, and whether alone.
func (s *suspects) admit(ctx context.Context, attempt string, f request.Fingerprint, vm string) suspect.Decision {
	decided := make(chan suspect.Decision, 1)
	s.mu.Lock()
	d := s.tracker.AdmitAt(attempt, f, vm, time.Now())
	if d.Verdict == suspect.Wait {
		s.waiting[attempt] = decided
	}
	s.flush()
	s.mu.Unlock()
	if d.Verdict != suspect.Wait {
		return s.told(d)
	}
	select {
	case d = <-decided:
		return s.told(d)
	case <-ctx.Done():
		s.finished(attempt)
		return suspect.Decision{Attempt: attempt, Verdict: suspect.Refuse, RetryAfter: retrySoon}
	}
}

// told logs what became of a suspect.
func (s *suspects) told(d suspect.Decision) suspect.Decision {
	switch d.Verdict {
	case suspect.RunAlone:
		event.SuspectRunsAlone.Log(s.node.deps.Log, slog.String("request", d.Attempt))
	case suspect.Refuse:
		event.SuspectRefused.Log(s.node.deps.Log, slog.String("request", d.Attempt), slog.Bool("convicted", d.Convicted))
	}
	return d
}

// started says whether the attempt may still be sent: the node may have learned
// of a crash, or have been paused, since it was admitted.
func (s *suspects) started(attempt string, f request.Fingerprint, vm string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	may := s.tracker.Started(attempt, f, vm, time.Now())
	s.flush()
	return may
}

// completed tells that an attempt gave its whole answer, which clears it.
func (s *suspects) completed(attempt string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.tracker.Completed(attempt, time.Now())
	s.flush()
}

func (s *suspects) observe(vm string, r upstream.LoadReport) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	s.tracker.Observe(vm, r.Epoch, now.Add(-time.Duration(r.AgeMillis)*time.Millisecond), now)
	s.flush()
}

// goodbye tells the peers that nothing is in flight here any more.
func (s *suspects) goodbye() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.tracker.Leave(time.Now())
	s.flush()
}

func (s *suspects) finished(attempt string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.waiting, attempt)
	s.tracker.Finished(attempt, time.Now())
	s.flush()
}

// crashed tells that the upstream on which an attempt ran has crashed.
func (s *suspects) crashed(vm string, epoch uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	attempts := s.tracker.Crashed(suspect.CrashID{Upstream: vm, Epoch: epoch}, time.Now())
	event.UpstreamCrashed.Log(s.node.deps.Log, slog.String("vm", vm), slog.Uint64("epoch", epoch), slog.Int("suspects", len(attempts)))
	s.flush()
}

func (s *suspects) run(ctx context.Context) {
	ticker := time.NewTicker(suspectTick)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case m := <-s.out:
			s.node.duties.Go(func() { s.send(ctx, m) })
		case now := <-ticker.C:
			s.tick(now)
		}
	}
}

func (s *suspects) tick(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.tracker.Tick(now)
	s.flush()
}

func (s *suspects) send(ctx context.Context, m suspect.Message) {
	s.mu.Lock()
	addr := s.addrs[m.To]
	s.mu.Unlock()
	if addr == "" {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, suspectTimeout)
	defer cancel()
	_ = s.node.pool.Call(ctx, addr, suspectStep, &m, &SuspectReply{}) // the tracker sends again what it misses
}

// SuspectReply carries nothing: answers are messages of their own. It is
// exported because net/rpc demands it.
type SuspectReply struct{}

// suspectReceiver takes the messages of peers.
type suspectReceiver struct{ s *suspects }

func (s *suspects) receiver() *suspectReceiver { return &suspectReceiver{s: s} }

// Step takes one message.
func (r *suspectReceiver) Step(m *suspect.Message, _ *SuspectReply) error {
	r.s.mu.Lock()
	defer r.s.mu.Unlock()
	r.s.tracker.Step(*m, time.Now())
	r.s.flush()
	return nil
}
