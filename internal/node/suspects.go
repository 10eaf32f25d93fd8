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
	suspectService    = "Suspect"
	suspectStepMethod = suspectService + ".Step"
	suspectInterval   = 50 * time.Millisecond
	suspectTimeout    = time.Second
	suspectQueueSize  = 1024
)

// suspects owns the tracker of requests that crash upstreams and exchanges its messages with
// peers.
type suspects struct {
	node     *Node
	outgoing chan suspect.Message

	mu      sync.Mutex
	tracker *suspect.Tracker
	addrs   map[string]string                // peer address by node ID
	waiting map[string]chan suspect.Decision // by attempt
}

func newSuspects(n *Node) *suspects {
	return &suspects{
		node:     n,
		outgoing: make(chan suspect.Message, suspectQueueSize),
		tracker:  suspect.New(suspect.Settings{Self: n.settings.ID}, time.Now()),
		addrs:    map[string]string{},
		waiting:  map[string]chan suspect.Decision{},
	}
}

func (s *suspects) setPeers(v *membership.View) {
	s.mu.Lock()
	defer s.mu.Unlock()
	ids := make([]string, 0, len(v.Entries))
	clear(s.addrs)
	for _, m := range v.Entries {
		s.addrs[m.ID] = m.Peer
		// An unreachable node may still run requests, so it counts until the platform's list
		// drops it.
		if m.ID != s.node.settings.ID {
			ids = append(ids, m.ID)
		}
	}
	s.tracker.SetPeers(ids, time.Now())
	s.flush()
}

// flush processes the tracker's pending messages, convictions and decisions; s.mu must be held.
func (s *suspects) flush() {
	ready := s.tracker.Ready()
	for _, m := range ready.Messages {
		select {
		case s.outgoing <- m:
		default: // the queue is full; the tracker repeats unanswered messages
		}
	}
	for _, f := range ready.Convicted {
		event.SuspectConvicted.Log(s.node.deps.Log, slog.String("fingerprint", hex.EncodeToString(f[:])))
	}
	for _, d := range ready.Decisions {
		if decided, ok := s.waiting[d.Attempt]; ok {
			delete(s.waiting, d.Attempt)
			decided <- d // never blocks: buffered for the only decision
		}
	}
}

// isSuspect reports whether the request was in flight at a crash, so that it must run at an
// upstream with few other requests.
func (s *suspects) isSuspect(f request.Fingerprint) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.tracker.IsSuspect(f)
}

// admit decides whether an attempt may run at an upstream. It waits for the peers' answers if
// the tracker needs them, for a few seconds at most and not longer than ctx. The result is nil
// if the attempt may run.
func (s *suspects) admit(ctx context.Context, attempt string, f request.Fingerprint, vm string) *request.Failure {
	began := time.Now()
	decided := make(chan suspect.Decision, 1)
	s.mu.Lock()
	d := s.tracker.AdmitAt(attempt, f, vm, began)
	if d.Verdict == suspect.Wait {
		s.waiting[attempt] = decided
	}
	s.flush()
	s.mu.Unlock()
	if d.Verdict != suspect.Wait {
		return s.conclude(d)
	}
	timeout := time.NewTimer(s.tracker.MaxWait() + decisionSlack)
	defer timeout.Stop()
	select {
	case d = <-decided:
		return s.conclude(d)
	case <-timeout.C:
	case <-ctx.Done():
	}
	s.finished(attempt)
	return s.refuseUnconfirmed(attempt, time.Since(began))
}

// decisionSlack is how much later than promised a decision of the tracker may come.
const decisionSlack = time.Second

// refuseUnconfirmed logs and returns the refusal of an attempt of which the node could not
// learn whether it is a suspect. Nothing is held against its request.
func (s *suspects) refuseUnconfirmed(attempt string, waited time.Duration) *request.Failure {
	event.SuspectUnknown.Log(s.node.deps.Log, slog.String("request", attempt), slog.Duration("waited", waited), slog.Bool("fresh", s.fresh()))
	return request.Refuse(request.CodeUnconfirmed, retrySoon, "this VM cannot learn from its peers whether the request crashes upstreams")
}

// conclude logs the decision about an attempt and returns its refusal, or nil if it may run.
func (s *suspects) conclude(d suspect.Decision) *request.Failure {
	id := slog.String("request", d.Attempt)
	switch {
	case d.Verdict == suspect.RunAlone:
		event.SuspectRunsAlone.Log(s.node.deps.Log, id)
		return nil
	case d.Verdict != suspect.Refuse:
		return nil
	case d.Convicted:
		event.SuspectRefused.Log(s.node.deps.Log, id, slog.Bool("convicted", true))
		return request.Refuse(request.CodeSuspect, 0, "upstreams crash on this request")
	default:
		event.SuspectRefused.Log(s.node.deps.Log, id, slog.Bool("convicted", false))
		return request.Refuse(request.CodeSuspect, d.RetryAfter, "the request is suspected of crashing upstreams and may not run at present")
	}
}

func (s *suspects) fresh() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.tracker.Fresh(time.Now())
}

// mayStart records that the attempt is about to be sent. It returns its refusal if it no longer
// may be: since its admission the node may have been paused or informed of a crash.
func (s *suspects) mayStart(attempt string, f request.Fingerprint, vm string) *request.Failure {
	s.mu.Lock()
	now := time.Now()
	may := s.tracker.Started(attempt, f, vm, now)
	fresh := s.tracker.Fresh(now)
	s.flush()
	s.mu.Unlock()
	switch {
	case may:
		return nil
	case !fresh:
		return s.refuseUnconfirmed(attempt, 0)
	default:
		return s.conclude(suspect.Decision{Attempt: attempt, Verdict: suspect.Refuse, RetryAfter: retrySoon})
	}
}

// completed reports that an attempt returned its complete answer, which clears it.
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

// announceStop informs the peers that nothing is in flight at this node any more.
func (s *suspects) announceStop() {
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

// crashed reports that the upstream on which an attempt ran has crashed.
func (s *suspects) crashed(vm string, epoch uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	attempts := s.tracker.Crashed(suspect.CrashID{Upstream: vm, Epoch: epoch}, time.Now())
	event.UpstreamCrashed.Log(s.node.deps.Log, slog.String("vm", vm), slog.Uint64("epoch", epoch), slog.Int("suspects", len(attempts)))
	s.flush()
	s.node.recorder.noteEvidence()
}

// records returns the suspects that have to outlast a loss of all nodes.
func (s *suspects) records(limit int, now time.Time) []suspect.Record {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.tracker.Records(limit, now)
}

// pardon clears the crashes that count against a request; it reports whether any did.
func (s *suspects) pardon(f request.Fingerprint) bool {
	s.mu.Lock()
	pardoned := s.tracker.Pardon(f, time.Now())
	s.flush()
	s.mu.Unlock()
	if pardoned {
		s.node.recorder.noteEvidence()
	}
	return pardoned
}

// restore merges suspects that the table holds.
func (s *suspects) restore(rows []suspectRow, now time.Time) {
	var records []suspect.Record
	for i := range rows {
		if r, ok := rows[i].record(now); ok {
			records = append(records, r)
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.tracker.Restore(records, now)
	s.flush()
}

func (s *suspects) run(ctx context.Context) {
	ticker := time.NewTicker(suspectInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case m := <-s.outgoing:
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
	_ = s.node.pool.Call(ctx, addr, suspectStepMethod, &m, &SuspectReply{}) // the tracker repeats unanswered messages
}

// SuspectReply is the empty reply of the RPC: the tracker's answers are messages of their own.
// It is exported because net/rpc requires it.
type SuspectReply struct{}

// suspectReceiver is the RPC receiver for the messages of peers.
type suspectReceiver struct{ s *suspects }

func (s *suspects) receiver() *suspectReceiver { return &suspectReceiver{s: s} }

// Step processes one message of a peer. It never returns an error.
func (r *suspectReceiver) Step(m *suspect.Message, _ *SuspectReply) error {
	r.s.mu.Lock()
	defer r.s.mu.Unlock()
	r.s.tracker.Step(*m, time.Now())
	r.s.flush()
	return nil
}
