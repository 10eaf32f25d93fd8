package node

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/google/uuid"

	"github.com/hickorybank/hickorybank/internal/admission"
	"github.com/hickorybank/hickorybank/internal/api"
	"github.com/hickorybank/hickorybank/internal/choice"
	"github.com/hickorybank/hickorybank/internal/config"
	"github.com/hickorybank/hickorybank/internal/request"
)

const (
	retrySoon = time.Second
	// freshRetry is the delay for a retry after a refusal because the configuration is not
	// fresh.
	freshRetry = time.Second
	// engineRetry is the delay for a retry after a refusal because no engine has the version.
	engineRetry = 5 * time.Second
)

// Chat runs a chat request and writes its answer to sink. The error is a *request.Failure.
func (n *Node) Chat(ctx context.Context, call api.ChatCall, sink request.Sink) (request.Answer, error) {
	n.running.Add(1)
	defer n.running.Add(-1)
	arrived := time.Now()
	run, fail := n.newChatRun(call, sink)
	if fail != nil {
		n.metrics.Failed(fail.Code)
		n.logFailure(failedRequest{org: call.Org.Name, key: call.Key, arrived: arrived}, fail)
		return request.Answer{}, fail
	}
	answer, err := run.run(ctx)
	run.measure(answer, err)
	if err != nil {
		n.logFailure(failedRequest{id: run.id, org: call.Org.Name, key: call.Key, arrived: arrived, admitted: run.admitted}, err)
	}
	return answer, err
}

// run waits for admission and then processes the request to its end.
func (r *chatRun) run(ctx context.Context) (request.Answer, error) {
	n := r.node
	ctx, cancel := context.WithDeadline(ctx, r.deadline)
	defer cancel()
	if fail := n.gate.enter(ctx, r.admission()); fail != nil {
		return request.Answer{}, fail
	}
	r.admitted = time.Now()
	defer func() { n.gate.leave(r.id, r.lastSample) }()
	return r.drive(ctx)
}

// newChatRun makes the checks that need no waiting and chooses the version or cascade.
func (n *Node) newChatRun(call api.ChatCall, sink request.Sink) (*chatRun, *request.Failure) {
	now := time.Now()
	snapshot, fail := n.admit()
	if fail != nil {
		return nil, fail
	}
	call.Snapshot = snapshot
	if call.Org = snapshot.Organisation(call.Org.Name); call.Org == nil {
		return nil, request.Refuse(request.CodeUnauthorised, 0, "the organisation has been removed")
	}
	session, fail := n.openSession(call, now)
	if fail != nil {
		return nil, fail
	}
	t, fail := resolve(call, session.version)
	if fail != nil {
		return nil, fail
	}
	if fail := n.gate.checkRate(call.Org.Name); fail != nil {
		return nil, fail
	}
	deadline := now.Add(timeout(call.Timeout, t.class))
	plan := n.chooser.Choose(choice.Request{
		Snapshot: snapshot, Org: call.Org, Class: t.class, Versions: t.versions, Pinned: t.pinned, Capacities: n.upstreams.capacities(t.versions),
		Now: now, Slack: deadline.Sub(now), Random: rand.Uint64(),
	})
	if plan.Refusal != choice.RefuseNone {
		return nil, planRefused(plan.Refusal)
	}
	fingerprint := request.NewFingerprint(call.Org.Name, call.Body)
	return &chatRun{
		node: n, call: call, sink: sink, class: t.class, plan: plan, session: session,
		id: uuid.Must(uuid.NewV7()).String(), arrived: now, deadline: deadline,
		fingerprint: fingerprint, chain: chainOf(call.MessageHashes, fingerprint), digest: billDigest(call.Key, fingerprint),
	}, nil
}

// admit returns the configuration under which new work may begin.
func (n *Node) admit() (*config.Snapshot, *request.Failure) {
	if n.stopping.refusesNew() {
		return nil, request.Refuse(request.CodeStopping, retrySoon, "this VM stops; ask for the addresses again")
	}
	return n.readyToRun()
}

// readyToRun returns the configuration in force, or why no work may be sent to an upstream at
// present. Requests that were admitted before are checked again when they are sent.
func (n *Node) readyToRun() (*config.Snapshot, *request.Failure) {
	snapshot, fresh := n.sync.Current()
	if snapshot == nil || !fresh {
		return nil, request.Refuse(request.CodeNotFresh, freshRetry, "this VM cannot tell whether its configuration is in force")
	}
	if !n.recorder.known.Load() {
		return nil, request.Refuse(request.CodeNotFresh, freshRetry, "this VM does not know yet which requests crash upstreams")
	}
	if !n.ledger.Ready() {
		return nil, request.Refuse(request.CodeLedger, retrySoon, "no bill can be made safe at present")
	}
	return snapshot, nil
}

func timeout(requested time.Duration, class *config.Class) time.Duration {
	limit := time.Duration(class.DeadlineMillis) * time.Millisecond
	if requested > 0 && requested < limit {
		return requested
	}
	return limit
}

func planRefused(r choice.Refusal) *request.Failure {
	switch r {
	case choice.RefuseHeld:
		return request.Refuse(request.CodeHeld, 0, "the session's version is held because it turned bad; begin a new session")
	case choice.RefuseUngranted:
		return request.Refuse(request.CodeOverloaded, retrySoon, "no answer of the staged version is granted at present")
	case choice.RefuseNoEngine:
		return request.Refuse(request.CodeNoUpstream, engineRetry, "no engine can run the version at present, and the request is bound to it")
	default:
		return request.Refuse(request.CodeNotAllowed, 0, "no version may serve the request")
	}
}

func (r *chatRun) admission() admission.Request {
	return admission.Request{
		ID: r.id, Org: r.call.Org.Name, Weight: r.call.Org.Weight, Kind: r.class.Kind,
		Pool: r.node.upstreams.pool(r.plan.First), Deadline: r.deadline,
	}
}
