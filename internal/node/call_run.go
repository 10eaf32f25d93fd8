package node

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"github.com/google/uuid"

	"github.com/hickorybank/hickorybank/internal/admission"
	"github.com/hickorybank/hickorybank/internal/api"
	"github.com/hickorybank/hickorybank/internal/balance"
	"github.com/hickorybank/hickorybank/internal/config"
	"github.com/hickorybank/hickorybank/internal/ledger"
	"github.com/hickorybank/hickorybank/internal/lifecycle"
	"github.com/hickorybank/hickorybank/internal/platform"
	"github.com/hickorybank/hickorybank/internal/request"
	"github.com/hickorybank/hickorybank/internal/upstream"
)

const (
	claimTimeout = 10 * time.Second
	// lateAnswerWindow is how long after the deadline the answer of a call that may not be repeated
	// is still awaited. A late answer is recorded, so that a retry with the same key gets it.
	lateAnswerWindow = 60 * time.Second
)

// callRun carries out the decisions of the state machine of one service call. All events pass
// through one channel to one goroutine, which owns the state machine.
type callRun struct {
	node     *Node
	call     api.ServiceCall
	class    *config.Class
	id       string
	deadline time.Time
	admitted time.Time

	machine *lifecycle.Call
	events  chan callEvent
	pending int // background calls whose event has not been received
	result  chan callResult
	vm      platform.VM
	epoch   uint64 // of the upstream's process when the call was sent
	token   balance.Token
	took    time.Duration
}

// callEvent reports an event to the state machine; it runs on the goroutine that owns it.
type callEvent func() []lifecycle.Decision

// callResult is the final answer to the caller.
type callResult struct {
	answer  upstream.ServiceAnswer
	failure *request.Failure
	took    time.Duration // of the upstream's last answer
}

// eventBuffer is the capacity for the events of all background calls that can be in flight at
// once.
const eventBuffer = 4

// Service runs a call of a plain service and returns its answer. The error is a
// *request.Failure.
func (n *Node) Service(ctx context.Context, call api.ServiceCall) (upstream.ServiceAnswer, error) {
	n.running.Add(1) // before the check for a planned stop, or the stop may miss this call
	arrived := time.Now()
	run, fail := n.newCallRun(call)
	if fail != nil {
		n.running.Add(-1)
		n.metrics.Failed(fail.Code)
		n.logFailure(failedRequest{org: call.Org.Name, key: call.Key, arrived: arrived}, fail)
		return upstream.ServiceAnswer{}, fail
	}
	result := run.run(ctx)
	run.measure(arrived, result)
	if result.failure != nil {
		n.logFailure(failedRequest{id: run.id, org: call.Org.Name, key: call.Key, arrived: arrived, admitted: run.admitted}, result.failure)
		return upstream.ServiceAnswer{}, result.failure
	}
	return result.answer, nil
}

// run waits for admission and for the final answer. The state machine continues without the
// caller as long as an answer may still arrive. The call counts as running until then, so that
// a planned stop waits for it.
func (r *callRun) run(ctx context.Context) callResult {
	ctx, cancel := context.WithDeadline(ctx, r.deadline)
	defer cancel()
	if fail := r.node.gate.enter(ctx, r.admission()); fail != nil {
		r.node.running.Add(-1)
		return callResult{failure: fail}
	}
	r.admitted = time.Now()
	r.node.duties.Go(func() {
		defer r.node.running.Add(-1)
		r.drive(ctx)
	})
	// drive also observes ctx and sends the final answer as soon as ctx ends.
	return <-r.result
}

func (n *Node) newCallRun(call api.ServiceCall) (*callRun, *request.Failure) {
	snapshot, fail := n.admit()
	if fail != nil {
		return nil, fail
	}
	if fail := n.gate.checkRate(call.Org.Name); fail != nil {
		return nil, fail
	}
	class := snapshot.Class(call.Call.Class)
	if class == nil {
		return nil, request.Refuse(request.CodeBadRequest, 0, "the call's class "+call.Call.Class+" has been removed")
	}
	now := time.Now()
	return &callRun{
		node: n, call: call, class: class,
		id: uuid.Must(uuid.NewV7()).String(), deadline: now.Add(timeout(call.Timeout, class)),
		events: make(chan callEvent, eventBuffer), result: make(chan callResult, 1),
		machine: lifecycle.NewCall(lifecycle.CallSettings{
			Idempotent: call.Call.Idempotent, Keyed: call.Key != "", MaxAttempts: lifecycle.DefaultMaxAttempts,
		}),
	}, nil
}

func (r *callRun) admission() admission.Request {
	return admission.Request{
		ID: r.id, Org: r.call.Org.Name, Weight: r.call.Org.Weight, Kind: r.class.Kind,
		Pool: r.call.Service.Name, Deadline: r.deadline,
	}
}

// drive runs until the state machine has ended and every background call has returned.
func (r *callRun) drive(ctx context.Context) {
	r.carryOutAll(ctx, r.machine.Begin())
	ended := ctx.Done()
	for r.pending > 0 || !r.machine.Ended() {
		select {
		case event := <-r.events:
			r.pending--
			r.carryOutAll(ctx, event())
		case <-ended:
			ended = nil
			r.carryOutAll(ctx, r.interrupted(ctx))
		}
	}
}

func (r *callRun) interrupted(ctx context.Context) []lifecycle.Decision {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return r.machine.Expired(retrySoon)
	}
	return r.machine.CallerDisconnected()
}

func (r *callRun) carryOutAll(ctx context.Context, decisions []lifecycle.Decision) {
	for len(decisions) > 0 {
		next := decisions[0]
		decisions = append(decisions[1:], r.carryOut(ctx, next)...)
	}
}

func (r *callRun) carryOut(ctx context.Context, d lifecycle.Decision) []lifecycle.Decision {
	switch d := d.(type) {
	case lifecycle.Claim:
		r.claim(ctx)
	case lifecycle.Release:
		r.release(ctx)
	case lifecycle.PickService:
		return r.pick(ctx, d)
	case lifecycle.Send:
		r.send(ctx)
	case lifecycle.Settle:
		r.settle(ctx, d.Answer)
	case lifecycle.SettleUnknown:
		r.settleUnknown(ctx)
	case lifecycle.BillCall:
		r.bill(ctx)
	case lifecycle.FinishCall:
		r.end(callResult{answer: d.Answer})
	case lifecycle.Fail:
		r.end(callResult{failure: d.Failure})
	}
	return nil
}

func (r *callRun) end(result callResult) {
	result.took = r.took
	r.result <- result // never blocks: buffered for the only result
	r.node.gate.leave(r.id, admission.Sample{FirstToken: r.took, Total: r.took})
}

// background runs a call whose event must be delivered even if the caller disconnects.
func (r *callRun) background(ctx context.Context, limit time.Duration, call func(context.Context) callEvent) {
	r.pending++
	r.node.duties.Go(func() {
		ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), limit)
		defer cancel()
		r.events <- call(ctx)
	})
}

// pick selects an upstream. Immediately before the call is sent it checks that the
// configuration is fresh and that the suspects admit the call.
func (r *callRun) pick(ctx context.Context, d lifecycle.PickService) []lifecycle.Decision {
	if d.Retry && !r.node.retryAllowed() {
		return r.machine.Refused(request.CodeOverloaded, retrySoon, "too many requests are being retried")
	}
	if _, fail := r.node.readyToRun(); fail != nil {
		return r.machine.Refused(fail.Code, fail.RetryAfter, fail.Message)
	}
	pick, ok := r.node.upstreams.pick(balance.Request{
		Service: r.call.Service.Name, Kind: r.class.Kind, Exclude: d.Exclude, Isolated: r.node.suspects.isSuspect(r.fingerprint()),
	})
	if !ok {
		return r.machine.Refused(request.CodeNoUpstream, pick.Shortage.RetryAfter, "no upstream for "+r.call.Service.Name+": "+string(pick.Shortage.Reason))
	}
	if fail := r.admitSuspect(ctx, pick.VM.ID); fail != nil {
		r.node.upstreams.done(pick.Token, balance.Result{Outcome: balance.Abandoned})
		if ctx.Err() != nil {
			return r.interrupted(ctx)
		}
		return r.machine.Refused(fail.Code, fail.RetryAfter, fail.Message)
	}
	r.vm = pick.VM
	r.epoch = r.node.upstreams.epoch(pick.VM.ID)
	r.token = pick.Token
	return r.machine.Picked(pick.VM.ID)
}

func (r *callRun) send(ctx context.Context) {
	out := r.call.Request
	out.Key = r.upstreamKey()
	vm := r.vm
	began := time.Now()
	epoch := r.epoch
	do := func(ctx context.Context) callEvent {
		answer, err := r.node.deps.Services.Do(r.node.upstreams.withNotices(ctx, vm), vm.Addr, out)
		r.node.serviceCallEnded(r.id, vm, epoch, err)
		return func() []lifecycle.Decision { return r.callReturned(answer, err, time.Since(began)) }
	}
	if r.call.Call.Idempotent {
		r.pending++
		r.node.duties.Go(func() { r.events <- do(ctx) })
		return
	}
	r.background(ctx, time.Until(r.deadline)+lateAnswerWindow, do)
}

// upstreamKey returns the key that identifies the call to the service. It includes the
// organisation, since two organisations may use the same key.
func (r *callRun) upstreamKey() string {
	if r.call.Key == "" {
		return r.id
	}
	return r.call.Org.Name + "." + r.call.Key
}

func (r *callRun) callReturned(answer upstream.ServiceAnswer, err error, took time.Duration) []lifecycle.Decision {
	r.took = took
	r.node.upstreams.done(r.token, balance.Result{Outcome: balance.OutcomeOf(err), FirstToken: took, Latency: took})
	r.node.observe(r.vm.Addr, err)
	if err != nil {
		return r.machine.SendFailed(reachOf(err))
	}
	return r.machine.Answered(answer)
}

func (r *callRun) bill(ctx context.Context) {
	b := r.billOf()
	b.Digest = billDigest(r.call.Key, r.fingerprint()) // without a claim, the key may cover several bodies
	r.background(ctx, billTimeout, func(ctx context.Context) callEvent {
		_, err := r.node.ledger.Bill(ctx, b)
		if err != nil {
			r.node.logUnbilled(b, r.id, err)
		}
		return func() []lifecycle.Decision { return r.machine.Billed(err == nil) }
	})
}

func (r *callRun) billOf() ledger.Bill {
	key := r.call.Key
	if key == "" {
		key = r.id
	}
	return ledger.Bill{
		Org: r.call.Org.Name, Key: key, Class: r.class.Name, Service: r.call.Service.Name,
		Cost: r.call.Call.Cost, At: time.Now(),
	}
}

func encodeAnswer(a upstream.ServiceAnswer) []byte {
	data, err := json.Marshal(a)
	if err != nil {
		panic(err) // an answer of plain values always encodes
	}
	return data
}
