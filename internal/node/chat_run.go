package node

import (
	"context"
	"errors"
	"time"

	"github.com/hickorybank/hickorybank/internal/admission"
	"github.com/hickorybank/hickorybank/internal/api"
	"github.com/hickorybank/hickorybank/internal/choice"
	"github.com/hickorybank/hickorybank/internal/config"
	"github.com/hickorybank/hickorybank/internal/crashguard"
	"github.com/hickorybank/hickorybank/internal/ledger"
	"github.com/hickorybank/hickorybank/internal/ledger/bill"
	"github.com/hickorybank/hickorybank/internal/lifecycle"
	"github.com/hickorybank/hickorybank/internal/request"
)

const (
	billTimeout = 15 * time.Second
	rateTimeout = 2 * time.Second
)

// chatRun carries out the decisions of the state machine of one chat request.
type chatRun struct {
	node         *Node
	call         api.ChatCall
	sink         request.Sink
	class        *config.Class
	plan         choice.Plan
	session      openedSession
	earlier      runTotals // totals of runs that were completed at another node
	adopted      *adoption
	id           string
	arrived      time.Time
	admitted     time.Time
	answerBegan  time.Time // when the answer to the caller began
	cachedTokens int
	deadline     time.Time
	fingerprint  request.Fingerprint
	chain        crashguard.Chain // what may crash upstreams
	trial        crashguard.Key   // the convicted key that the request may contain; 0 for none
	trialCounted bool             // the trial may have run
	struck       bool             // an upstream crashed while it was about to answer
	digest       uint64           // of the bill

	machine        *lifecycle.Chat
	current        *activeAttempt // the attempt in flight
	headWritten    bool           // the head of the answer has been written
	unflushed      bool           // the sink has unflushed chunks
	belowThreshold bool           // an earlier stage's answer scored below the threshold or got no score
	lastSample     admission.Sample
	answer         request.Answer
	failure        *request.Failure
}

// drive runs the state machine to its end. Calls to upstreams are cancelled with ctx, so the
// final answer is given at once when the deadline passes or the caller disconnects.
func (r *chatRun) drive(ctx context.Context) (request.Answer, error) {
	r.machine = lifecycle.NewChat(lifecycle.ChatSettings{
		ID: r.id, Versions: append([]string{r.plan.First}, r.plan.Then...), Threshold: r.plan.Threshold,
		Streaming: r.sink.Streams(), Resumable: r.sink.Streams(),
		MaxAttempts: lifecycle.DefaultMaxAttempts, MaxResumes: lifecycle.DefaultMaxResumes,
	})
	queue := r.begin()
	for !r.machine.Ended() || len(queue) > 0 {
		if ctx.Err() != nil && !r.machine.Ended() {
			queue = r.interrupted(ctx)
			continue
		}
		if len(queue) == 0 {
			queue = r.read(ctx)
			continue
		}
		next := queue[0]
		queue = append(queue[1:], r.flushAndCarryOut(ctx, next)...)
	}
	r.endAttempt()
	r.node.crashes.endTrial(r)
	if r.failure != nil {
		return request.Answer{}, r.failure
	}
	return r.answer, nil
}

func (r *chatRun) begin() []lifecycle.Decision {
	if r.adopted == nil {
		return r.machine.Begin()
	}
	return r.machine.Adopt(r.adopted.attempt, r.current.vm.ID, r.adopted.after)
}

// interrupted reports the end of ctx to the state machine: the deadline has passed or the
// caller has disconnected.
func (r *chatRun) interrupted(ctx context.Context) []lifecycle.Decision {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return r.machine.Expired(retrySoon)
	}
	return r.machine.CallerDisconnected()
}

func (r *chatRun) flushAndCarryOut(ctx context.Context, d lifecycle.Decision) []lifecycle.Decision {
	if _, ok := d.(lifecycle.Emit); !ok && !r.flush() {
		// The decision is carried out nevertheless: it may be the bill.
		gone := r.machine.CallerDisconnected()
		return append(r.carryOut(ctx, d), gone...)
	}
	return r.carryOut(ctx, d)
}

func (r *chatRun) carryOut(ctx context.Context, d lifecycle.Decision) []lifecycle.Decision {
	switch d := d.(type) {
	case lifecycle.Pick:
		return r.pick(ctx, d)
	case lifecycle.Start:
		return r.start(ctx, d)
	case lifecycle.Resume:
		return r.resume(ctx, d)
	case lifecycle.Cancel:
		r.cancel(d)
	case lifecycle.Emit:
		return r.emit(d)
	case lifecycle.Rate:
		return r.rate(ctx, d)
	case lifecycle.Bill:
		return r.bill(ctx, d)
	case lifecycle.Finish:
		r.finish(d)
	case lifecycle.Fail:
		r.failure = d.Failure
	}
	return nil
}

func (r *chatRun) emit(d lifecycle.Emit) []lifecycle.Decision {
	r.beginAnswer(d.Version)
	if r.sink.Text(d.Seq, d.Text) != nil {
		return r.machine.CallerDisconnected()
	}
	r.unflushed = true
	return nil
}

// flush sends the buffered chunks and reports whether the caller is still connected. It must be
// called before any operation that may block: chunks are batched only while the next one has
// already arrived.
func (r *chatRun) flush() bool {
	if !r.unflushed {
		return true
	}
	r.unflushed = false
	return r.sink.Flush() == nil
}

func (r *chatRun) beginAnswer(version string) {
	if r.headWritten {
		return
	}
	r.headWritten = true
	r.answerBegan = time.Now()
	head := request.Head{Version: version, Session: r.node.sessionToken(r.session, r.call.Org.Name, version)}
	if r.sink.Streams() && r.current != nil {
		head.Stream = r.streamToken(head.Session)
	}
	r.sink.Begin(head)
}

// rate obtains the score of a cascade's answer, which decides whether the answer is used.
func (r *chatRun) rate(ctx context.Context, d lifecycle.Rate) []lifecycle.Decision {
	ctx, cancel := context.WithTimeout(ctx, rateTimeout)
	defer cancel()
	began := time.Now()
	score, err := r.node.deps.Platform.Rate(ctx, r.rateRequest(d.Version, d.Answer))
	if err != nil {
		r.node.chooser.ObserveRatingFailure(time.Now())
		r.belowThreshold = true
		return r.machine.Rated(0, false)
	}
	now := time.Now()
	r.node.chooser.Observe(choice.Observation{
		Version: d.Version, Class: r.class.Name, Score: score, IsFallback: r.belowThreshold, Took: now.Sub(began), Now: now,
	})
	r.belowThreshold = r.belowThreshold || score < r.plan.Threshold
	return r.machine.Rated(score, true)
}

// bill makes the bill durable. Writing continues when ctx ends: a bill that was begun must not
// be lost with the caller's connection.
func (r *chatRun) bill(ctx context.Context, d lifecycle.Bill) []lifecycle.Decision {
	b := r.billOf(d)
	done := make(chan error, 1)
	r.node.duties.Go(func() {
		ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), billTimeout)
		defer cancel()
		_, err := r.node.ledger.Bill(ctx, b)
		done <- err
	})
	select {
	case err := <-done:
		if err != nil {
			r.node.logUnbilled(b, r.id, err)
			return r.machine.BillFailed()
		}
		return r.machine.BillDurable()
	case <-ctx.Done():
		return r.interrupted(ctx)
	}
}

func (r *chatRun) billOf(d lifecycle.Bill) ledger.Bill {
	b := ledger.Bill{Org: r.call.Org.Name, Key: r.key(), Digest: r.digest, Class: r.class.Name, Version: d.Version, At: time.Now()}
	all := r.earlier
	all.add(r, d.Runs)
	b.Cost = all.cost
	b.InputTokens = all.input
	b.OutputTokens = all.output
	return b
}

func (r *chatRun) key() string {
	if r.call.Key != "" {
		return r.call.Key
	}
	return r.id
}

// billDigest distinguishes requests with different bodies under the same key of a caller. It is
// 0 for a request without a key, whose generated key is unique.
func billDigest(key string, f request.Fingerprint) uint64 {
	if key == "" {
		return 0
	}
	return bill.DigestOf(f)
}

// tokensPerPrice is the number of tokens to which a version's prices apply.
const tokensPerPrice = 1000

func (r *chatRun) cost(run lifecycle.Run) int64 {
	v := r.call.Snapshot.Version(run.Version)
	return (v.InputCost*int64(run.Usage.InputTokens) + v.OutputCost*int64(run.Usage.OutputTokens)) / tokensPerPrice
}

func (r *chatRun) finish(d lifecycle.Finish) {
	r.beginAnswer(d.Version)
	if d.Text != "" {
		// The caller may have disconnected; the request is complete nevertheless.
		_ = r.sink.Text(d.Seq, d.Text)
	}
	r.answer = request.Answer{Version: d.Version, FinishReason: d.FinishReason, Usage: d.Usage}
	all := r.earlier
	all.add(r, d.Runs)
	r.answer.Cost = all.cost
}
