package node

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"github.com/hickorybank/hickorybank/internal/admission"
	"github.com/hickorybank/hickorybank/internal/balance"
	"github.com/hickorybank/hickorybank/internal/choice"
	"github.com/hickorybank/hickorybank/internal/lifecycle"
	"github.com/hickorybank/hickorybank/internal/platform"
	"github.com/hickorybank/hickorybank/internal/request"
	"github.com/hickorybank/hickorybank/internal/upstream"
)

const (
	cancelTimeout = time.Second
	// A frozen engine keeps its connections open and sends nothing. Without these timeouts
	// the request would wait for it until its deadline.
	firstChunkTimeout = 15 * time.Second
	nextChunkTimeout  = 5 * time.Second
	// unreachableTimeout replaces firstChunkTimeout for a resumption at an upstream whose
	// circuit breaker is open: it answers no polls either.
	unreachableTimeout = 2 * time.Second
	// resumePause is the pause before the next resumption after one that got no connection.
	resumePause = 300 * time.Millisecond
)

// pick selects an upstream for the next attempt after checking the retry budget and the
// configuration, and asks the suspects to admit the attempt.
func (r *chatRun) pick(ctx context.Context, d lifecycle.Pick) []lifecycle.Decision {
	r.endAttempt()
	if d.Retry && !r.node.retryAllowed() {
		return r.machine.Refused(request.CodeOverloaded, retrySoon, "too many requests are being retried")
	}
	if fail := r.mayRun(d.Version, false); fail != nil {
		return r.machine.Refused(fail.Code, fail.RetryAfter, fail.Message)
	}
	pick, ok := r.node.upstreams.pick(balance.Request{
		Version: d.Version, PrefixHash: r.call.PrefixHash, Kind: r.class.Kind, Exclude: d.Exclude,
		Isolated: r.node.suspects.isSuspect(r.fingerprint),
	})
	if !ok {
		return r.machine.Refused(request.CodeNoUpstream, pick.Shortage.RetryAfter, "no upstream for "+d.Version+": "+string(pick.Shortage.Reason))
	}
	if fail := r.node.suspects.admit(ctx, r.id, r.fingerprint, pick.VM.ID); fail != nil {
		r.node.upstreams.done(pick.Token, balance.Result{Outcome: balance.Abandoned})
		if ctx.Err() != nil {
			return r.interrupted(ctx)
		}
		if fail.Code == request.CodeSuspect && fail.RetryAfter == 0 {
			return r.machine.Convicted()
		}
		return r.machine.Refused(fail.Code, fail.RetryAfter, fail.Message)
	}
	r.current = &activeAttempt{version: d.Version, vm: pick.VM, token: pick.Token, epoch: r.node.upstreams.epoch(pick.VM.ID), began: time.Now()}
	return r.machine.Picked(pick.VM.ID)
}

// mayRun checks the version against the configuration in force now, and the messages against those
// that crash upstreams. The request may have been queued since its admission, and its version
// withdrawn meanwhile.
func (r *chatRun) mayRun(version string, sending bool) *request.Failure {
	snapshot, fail := r.node.readyToRun()
	if fail != nil {
		return fail
	}
	org := snapshot.Organisation(r.call.Org.Name)
	if org == nil || !snapshot.Allowed(org, version) {
		return withdrawn(version, r.session.version != "")
	}
	return r.node.crashes.mayRun(r, sending)
}

// start sends the attempt. The checks are repeated immediately before sending: a node that was
// paused since the selection must not send new work to a version that was withdrawn meanwhile.
func (r *chatRun) start(ctx context.Context, d lifecycle.Start) []lifecycle.Decision {
	r.current.attempt = d.Attempt
	body, err := r.call.Fields.BodyFor(d.Version)
	if err != nil {
		return r.machine.NotSent(request.CodeBadRequest, 0, err.Error())
	}
	if fail := r.node.suspects.mayStart(r.id, r.fingerprint, r.current.vm.ID); fail != nil {
		return r.machine.NotSent(fail.Code, fail.RetryAfter, fail.Message)
	}
	if fail := r.mayRun(d.Version, false); fail != nil {
		return r.machine.NotSent(fail.Code, fail.RetryAfter, fail.Message)
	}
	var refused atomic.Pointer[request.Failure]
	stream, err := r.node.deps.Engines.Start(r.node.upstreams.withNotices(r.withStallTimer(ctx, firstChunkTimeout), r.current.vm), r.current.vm.Addr, upstream.Attempt{
		ID: d.Attempt, Version: d.Version, Priority: priority(r.class.Kind), PrefixHash: r.call.PrefixHash, Body: body,
		// Connecting takes time, and a node that was paused meanwhile may send late.
		MaySend: func() error {
			if fail := r.mayRun(d.Version, true); fail != nil {
				refused.Store(fail)
				return fail
			}
			return nil
		},
	})
	if err != nil && refused.Load() != nil && reachOf(err) == upstream.NotSent {
		fail := refused.Load()
		return r.machine.NotSent(fail.Code, fail.RetryAfter, fail.Message)
	}
	if err == nil || reachOf(err) == upstream.MaybeRun {
		r.node.crashes.countTrial(r)
	}
	if err != nil {
		return r.attemptFailed(ctx, err, false)
	}
	r.current.stream = stream
	return nil
}

func (r *chatRun) resume(ctx context.Context, d lifecycle.Resume) []lifecycle.Decision {
	r.current.close()
	if r.current.err != nil && reachOf(r.current.err) == upstream.NotSent {
		pause(ctx, resumePause) // if ctx ends, so does the resumption
	}
	timeout := r.node.upstreams.resumeTimeout(r.current)
	stream, err := r.node.deps.Engines.Resume(r.node.upstreams.withNotices(r.withStallTimer(ctx, timeout), r.current.vm), r.current.vm.Addr, d.Attempt, d.After)
	if err != nil {
		return r.attemptFailed(ctx, err, true)
	}
	r.current.stream = stream
	return nil
}

// resumeTimeout returns how long the resumption of an attempt may take until its next chunk. An
// attempt that has made none yet is retried elsewhere at no loss, so it does not wait long
// for an upstream that is known to be unreachable.
func (u *upstreams) resumeTimeout(a *activeAttempt) time.Duration {
	u.mu.Lock()
	defer u.mu.Unlock()
	if a.chunks == 0 && !a.adopted && u.balancer.IsOpen(a.vm.ID) {
		return unreachableTimeout
	}
	return firstChunkTimeout
}

// withStallTimer returns a context that is cancelled when no chunk arrives in time.
func (r *chatRun) withStallTimer(ctx context.Context, timeout time.Duration) context.Context {
	ctx, cancel := context.WithCancel(ctx)
	r.current.stallTimer = time.AfterFunc(timeout, cancel)
	return ctx
}

// read reads the next chunk.
func (r *chatRun) read(ctx context.Context) []lifecycle.Decision {
	if !r.current.stream.Ready() && !r.flush() {
		return r.machine.CallerDisconnected()
	}
	chunk, err := r.current.stream.Next()
	if err != nil {
		return r.attemptFailed(ctx, err, false)
	}
	if chunk.Attempt != r.current.attempt {
		// The stream carries another attempt's answer. Nothing that follows on it can be
		// trusted, and none of it may reach this request's caller.
		return r.machine.ConnectionFailed(r.current.attempt, upstream.MaybeRun, false)
	}
	r.chunkReceived(chunk)
	decisions := r.machine.ChunkReceived(chunk)
	if chunk.Done && !r.machine.Running() {
		r.completed(chunk)
	}
	return decisions
}

func (r *chatRun) chunkReceived(chunk upstream.Chunk) {
	a := r.current
	a.chunks++
	a.stallTimer.Reset(nextChunkTimeout)
	a.text.WriteString(chunk.Text)
	if !a.answered && a.firstToken > 0 && time.Since(a.began)-a.firstToken >= answerProofTime {
		a.answered = true
		r.node.crashes.answered(r.chain.Parts(), a.began.Add(a.firstToken))
	}
	if a.firstToken == 0 && !a.adopted {
		a.firstToken = time.Since(a.began)
		r.node.upstreams.firstToken(a.token, a.firstToken)
	}
}

// completed reports a complete answer to the version chooser, the suspects and the raters.
func (r *chatRun) completed(chunk upstream.Chunk) {
	a := r.current
	defer r.endAttempt()
	if a.adopted {
		return // its time and text cover only the rest of the answer
	}
	r.cachedTokens += chunk.Usage.CachedTokens
	now := time.Now()
	r.node.chooser.ObserveAnswer(choice.Answer{
		Version: a.version, Class: r.class.Name, Took: now.Sub(a.began),
		InputTokens: chunk.Usage.InputTokens, OutputTokens: chunk.Usage.OutputTokens, Now: now,
	})
	r.node.suspects.completed(r.id)
	r.node.crashes.answered(r.chain, a.began.Add(a.firstToken))
	a.concluded = true
	// A cascade rates its first answer in any case. Rating it here too would count it twice,
	// also as evidence against its version.
	if r.plan.Rate && (len(r.plan.Then) == 0 || r.belowThreshold) {
		r.node.raters.offer(sample{req: r.rateRequest(a.version, a.text.String()), twice: r.plan.RateAgain, afterLowScore: r.belowThreshold})
	}
}

func (r *chatRun) rateRequest(version, answer string) platform.RateRequest {
	return platform.RateRequest{Version: version, Class: r.class.Name, Prompt: r.call.Prompt, Answer: answer}
}

// attemptFailed reports the failure of an attempt to the state machine and to the components
// that track upstreams. When ctx has ended, that is the cause, whatever the error says.
func (r *chatRun) attemptFailed(ctx context.Context, err error, resuming bool) []lifecycle.Decision {
	r.current.err = err
	if ctx.Err() != nil {
		return r.interrupted(ctx)
	}
	r.node.observe(r.current.vm.Addr, err)
	if resuming && errors.Is(err, upstream.ErrUnknownStream) {
		return r.streamUnknown()
	}
	if engineFailed(err) {
		if blamesVersion(err) {
			r.node.chooser.ObserveError(r.current.version, r.class.Name, time.Now())
		}
		return r.machine.EngineFailed(r.current.attempt)
	}
	if resuming && (isRefused(err) || r.node.hasCrashed(r.current.vm, r.current.epoch)) {
		r.upstreamCrashed()
		if reachOf(err) == upstream.NotSent {
			return r.machine.EngineFailed(r.current.attempt)
		}
	}
	return r.machine.ConnectionFailed(r.current.attempt, reachOf(err), resuming)
}

func reachOf(err error) upstream.Reach {
	var e *upstream.Error
	if errors.As(err, &e) {
		return e.Reach
	}
	return upstream.MaybeRun
}

func (r *chatRun) cancel(d lifecycle.Cancel) {
	addr := r.current.vm.Addr
	r.node.duties.Go(func() {
		ctx, cancel := context.WithTimeout(context.Background(), cancelTimeout)
		defer cancel()
		_ = r.node.deps.Engines.Cancel(ctx, addr, d.Attempt) // the engine drops it anyway after a time
	})
}

// endAttempt releases the resources of the attempt and reports its result.
func (r *chatRun) endAttempt() {
	a := r.current
	if a == nil {
		return
	}
	r.current = nil
	a.close()
	if a.adopted {
		return
	}
	took := time.Since(a.began)
	r.node.upstreams.done(a.token, balance.Result{Outcome: balance.OutcomeOf(a.err), FirstToken: a.firstToken, Latency: took, Tokens: a.chunks})
	if !a.concluded {
		r.node.suspects.finished(r.id)
	}
	r.lastSample = admission.Sample{FirstToken: a.firstToken, Total: took, Overloaded: reachOf(a.err) == upstream.Declined && a.err != nil}
}
