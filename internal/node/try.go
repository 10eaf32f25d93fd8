package node

import (
	"context"
	"errors"
	"strings"
	"time"

	"github.com/hickorybank/hickorybank/internal/admission"
	"github.com/hickorybank/hickorybank/internal/balance"
	"github.com/hickorybank/hickorybank/internal/choice"
	"github.com/hickorybank/hickorybank/internal/lifecycle"
	"github.com/hickorybank/hickorybank/internal/platform"
	"github.com/hickorybank/hickorybank/internal/request"
	"github.com/hickorybank/hickorybank/internal/suspect"
	"github.com/hickorybank/hickorybank/internal/upstream"
	upstreamclient "github.com/hickorybank/hickorybank/internal/upstream/client"
)

const (
	cancelTimeout = time.Second
	// A frozen engine keeps its connections open and says nothing. Without a
	// bound the request would wait there until its deadline.
	firstPieceLimit = 15 * time.Second
	nextPieceLimit  = 5 * time.Second
)

// try is one attempt in flight.
type try struct {
	attempt string
	version string
	vm      platform.VM
	epoch   uint64
	token   balance.Token
	stream  upstream.Stream
	stall   *time.Timer // ends the stream's context when no piece comes
	began   time.Time
	first   time.Duration
	pieces  int
	text    strings.Builder
	err     error // the last failure
	over    bool
	adopted bool // the balancer and the suspects know nothing of it
}

// pick finds an upstream for the next attempt, after all that may forbid it.
func (r *chatRun) pick(ctx context.Context, d lifecycle.Pick) []lifecycle.Decision {
	r.endTry()
	if d.Retry && !r.node.retryAllowed() {
		return r.machine.Refused(request.CodeOverloaded, retrySoon, "too many requests are being retried")
	}
	if fail := r.mayRun(d.Version); fail != nil {
		return r.machine.Refused(fail.Code, fail.RetryAfter, fail.Message)
	}
	pick, ok := r.node.upstreams.pick(balance.Request{
		Version: d.Version, PrefixHash: r.call.PrefixHash, Kind: r.class.Kind, Exclude: d.Exclude,
		Isolated: r.node.suspects.suspect(r.fingerprint),
	})
	if !ok {
		return r.machine.Refused(request.CodeNoUpstream, pick.Shortage.RetryAfter, "no upstream for "+d.Version+": "+string(pick.Shortage.Reason))
	}
	verdict := r.node.suspects.admit(ctx, r.id, r.fingerprint, pick.VM.ID)
	if verdict.Verdict == suspect.Refuse {
		r.node.upstreams.done(pick.Token, balance.Result{Outcome: balance.Abandoned})
		return r.crashes(verdict)
	}
	r.try = &try{version: d.Version, vm: pick.VM, token: pick.Token, epoch: r.node.upstreams.epoch(pick.VM.ID), began: time.Now()}
	return r.machine.Picked(pick.VM.ID)
}

func (r *chatRun) crashes(d suspect.Decision) []lifecycle.Decision {
	if d.Convicted {
		return r.machine.Convicted()
	}
	return r.machine.Refused(request.CodeSuspect, d.RetryAfter, "the request is suspected of crashing upstreams and may not run at present")
}

// mayRun checks the configuration that is in force now. The request may have
// waited since it was admitted, and its version may have been withdrawn.
func (r *chatRun) mayRun(version string) *request.Failure {
	snapshot, fresh := r.node.sync.Current()
	if !fresh {
		return request.Refuse(request.CodeNotFresh, freshRetry, "this VM cannot tell whether its configuration is in force")
	}
	org := snapshot.Organisation(r.call.Org.Name)
	if org == nil || !snapshot.Allowed(org, version) {
		return withdrawn(version, r.session.version != "")
	}
	return nil
}

// start sends the attempt. The check stands just before the sending: a node
// that was paused since the choice must not give new work to a version that
// was withdrawn meanwhile.
func (r *chatRun) start(ctx context.Context, d lifecycle.Start) []lifecycle.Decision {
	r.try.attempt = d.Attempt
	body, err := r.call.Fields.BodyFor(d.Version)
	if err != nil {
		return r.machine.Unsent(request.CodeBadRequest, 0, err.Error())
	}
	if !r.node.suspects.started(r.id, r.fingerprint, r.try.vm.ID) {
		return r.machine.Unsent(request.CodeSuspect, retrySoon, "the request is suspected of crashing upstreams and may not run at present")
	}
	if fail := r.mayRun(d.Version); fail != nil {
		return r.machine.Unsent(fail.Code, fail.RetryAfter, fail.Message)
	}
	stream, err := r.node.deps.Engines.Start(r.node.upstreams.hearing(r.watched(ctx), r.try.vm), r.try.vm.Addr, upstream.Attempt{
		ID: d.Attempt, Version: d.Version, Priority: priority(r.class.Kind), PrefixHash: r.call.PrefixHash, Body: body,
	})
	if err != nil {
		return r.broke(ctx, err, false)
	}
	r.try.stream = stream
	return nil
}

func (r *chatRun) resume(ctx context.Context, d lifecycle.Resume) []lifecycle.Decision {
	r.try.close()
	stream, err := r.node.deps.Engines.Resume(r.node.upstreams.hearing(r.watched(ctx), r.try.vm), r.try.vm.Addr, d.Attempt, d.After)
	if err != nil {
		return r.broke(ctx, err, true)
	}
	r.try.stream = stream
	return nil
}

// watched returns a context that ends when no piece comes for too long.
func (r *chatRun) watched(ctx context.Context) context.Context {
	ctx, cancel := context.WithCancel(ctx)
	r.try.stall = time.AfterFunc(firstPieceLimit, cancel)
	return ctx
}

// read takes the next piece.
func (r *chatRun) read(ctx context.Context) []lifecycle.Decision {
	if !r.try.stream.Ready() && !r.flush() {
		return r.machine.CallerGone()
	}
	chunk, err := r.try.stream.Next()
	if err != nil {
		return r.broke(ctx, err, false)
	}
	if chunk.Attempt != r.try.attempt {
		// Its stream carries another attempt's answer: nothing that follows
		// on it can be trusted, and none of it may reach our caller.
		return r.machine.Broke(r.try.attempt, upstream.MaybeRun, false)
	}
	r.pieceCame(chunk)
	decisions := r.machine.Piece(chunk)
	if chunk.Done && !r.machine.Running() {
		r.completed(chunk)
	}
	return decisions
}

func (r *chatRun) pieceCame(chunk upstream.Chunk) {
	t := r.try
	t.pieces++
	t.stall.Reset(nextPieceLimit)
	t.text.WriteString(chunk.Text)
	if t.first == 0 && !t.adopted {
		t.first = time.Since(t.began)
		r.node.upstreams.firstToken(t.token, t.first)
	}
}

// completed tells the parts that learn from whole answers.
func (r *chatRun) completed(chunk upstream.Chunk) {
	t := r.try
	defer r.endTry()
	if t.adopted {
		return // its time and text are only the rest's
	}
	r.cached += chunk.Usage.CachedTokens
	now := time.Now()
	r.node.chooser.ObserveAnswer(choice.Answer{
		Version: t.version, Class: r.class.Name, Took: now.Sub(t.began),
		InputTokens: chunk.Usage.InputTokens, OutputTokens: chunk.Usage.OutputTokens, Now: now,
	})
	r.node.suspects.completed(r.id)
	t.over = true
	// A cascade has its first answer rated in any case; rating it here too
	// would count it twice, also as evidence against its version.
	if r.plan.Rate && (len(r.plan.Then) == 0 || r.short) {
		r.node.raters.offer(sample{req: r.rateRequest(t.version, t.text.String()), again: r.plan.RateAgain, short: r.short})
	}
}

func (r *chatRun) rateRequest(version, answer string) platform.RateRequest {
	return platform.RateRequest{Version: version, Class: r.class.Name, Prompt: r.call.Prompt, Answer: answer}
}

// broke says how an attempt failed. When the caller's time is over that is the
// reason, whatever the broken call says.
func (r *chatRun) broke(ctx context.Context, err error, resuming bool) []lifecycle.Decision {
	r.try.err = err
	if ctx.Err() != nil {
		return r.interrupted(ctx)
	}
	r.node.observe(r.try.vm.Addr, err)
	if r.saidFailed(err) {
		r.node.chooser.ObserveError(r.try.version, r.class.Name, time.Now())
		return r.machine.Failed(r.try.attempt)
	}
	if resuming && !r.try.adopted && (lostStream(err) || r.node.hasCrashed(r.try.vm, r.try.epoch)) {
		r.node.suspects.crashed(r.try.vm.ID, r.try.epoch)
		r.try.over = true
	}
	return r.machine.Broke(r.try.attempt, reachOf(err), resuming)
}

// saidFailed tells the engine's own failure from a lost connection.
func (r *chatRun) saidFailed(err error) bool {
	var status *upstreamclient.StatusError
	var inStream *upstreamclient.StreamError
	return reachOf(err) == upstream.MaybeRun && (errors.As(err, &status) || errors.As(err, &inStream))
}

// lostStream says that the engine that ran the attempt is gone: after its
// connection broke it cannot be connected to, or it came back without the
// attempt. An engine that is only slow or cut off for a moment still has it.
func lostStream(err error) bool {
	return reachOf(err) == upstream.NotSent || errors.Is(err, upstream.ErrUnknownStream)
}

func reachOf(err error) upstream.Reach {
	var e *upstream.Error
	if errors.As(err, &e) {
		return e.Reach
	}
	return upstream.MaybeRun
}

func (r *chatRun) cancel(d lifecycle.Cancel) {
	addr := r.try.vm.Addr
	r.node.duties.Go(func() {
		ctx, cancel := context.WithTimeout(context.Background(), cancelTimeout)
		defer cancel()
		_ = r.node.deps.Engines.Cancel(ctx, addr, d.Attempt) // the engine drops it by itself after a while
	})
}

func (t *try) close() {
	if t.stream != nil {
		_ = t.stream.Close()
		t.stream = nil
	}
	if t.stall != nil {
		t.stall.Stop()
	}
}

// endTry gives back what the attempt holds.
func (r *chatRun) endTry() {
	t := r.try
	if t == nil {
		return
	}
	r.try = nil
	t.close()
	if t.adopted {
		return
	}
	took := time.Since(t.began)
	r.node.upstreams.done(t.token, balance.Result{Outcome: balance.OutcomeOf(t.err), FirstToken: t.first, Latency: took, Tokens: t.pieces})
	if !t.over {
		r.node.suspects.finished(r.id)
	}
	r.last = admission.Sample{FirstToken: t.first, Total: took, Overloaded: reachOf(t.err) == upstream.Declined && t.err != nil}
}
