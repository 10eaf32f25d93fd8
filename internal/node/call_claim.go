package node

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"

	"github.com/hickorybank/hickorybank/internal/ledger"
	"github.com/hickorybank/hickorybank/internal/ledger/claim"
	"github.com/hickorybank/hickorybank/internal/lifecycle"
	"github.com/hickorybank/hickorybank/internal/request"
	"github.com/hickorybank/hickorybank/internal/upstream"
)

// claim records durably, before the first byte is sent, that this arrival and no other with the
// same key runs the call.
func (r *callRun) claim(ctx context.Context) {
	req := ledger.ClaimRequest{
		Org: r.call.Org.Name, Key: r.call.Key, Attempt: r.id, Fingerprint: r.fingerprint(),
	}
	r.background(ctx, claimTimeout, func(ctx context.Context) callEvent {
		result, err := r.node.ledger.Claim(ctx, req)
		return func() []lifecycle.Decision { return r.claimed(ctx, result, err) }
	})
}

// fingerprint covers the method, service, path, query and body: the same key with a difference
// in any of them is another request.
func (r *callRun) fingerprint() request.Fingerprint {
	q := r.call.Request
	head := q.Method + " " + r.call.Service.Name + q.Path + "?" + q.RawQuery + "\n"
	return request.NewFingerprint(r.call.Org.Name, append([]byte(head), q.Body...))
}

func (r *callRun) claimed(ctx context.Context, result ledger.ClaimResult, err error) []lifecycle.Decision {
	if err != nil {
		return r.claimFailed(ctx, err)
	}
	if result.State == claim.Granted {
		return r.machine.Claimed()
	}
	if result.State == claim.Settled && result.Record.Outcome == request.Completed {
		return r.replay(result.Record)
	}
	return r.machine.ClaimFailed(claimFailure(result))
}

// claimFailed refuses a call whose claim failed or may have failed; in both cases no byte was
// sent. A claim whose result is unknown is released, or its key could never be used.
func (r *callRun) claimFailed(ctx context.Context, err error) []lifecycle.Decision {
	if !errors.Is(err, ledger.ErrNotClaimed) {
		r.release(ctx)
	}
	return r.machine.ClaimFailed(request.Refuse(request.CodeLedger, retrySoon, "the request could not be claimed: "+err.Error()))
}

// replay returns the recorded answer.
func (r *callRun) replay(record claim.Record) []lifecycle.Decision {
	var answer upstream.ServiceAnswer
	if len(record.Answer) == 0 || json.Unmarshal(record.Answer, &answer) != nil {
		return r.machine.ClaimFailed(&request.Failure{
			Code: request.CodeDuplicate, Outcome: request.Completed,
			Message: "the request with this key has completed; its answer is too long to be kept",
		})
	}
	return r.machine.Replay(answer)
}

func claimFailure(result ledger.ClaimResult) *request.Failure {
	switch result.State {
	case claim.Running:
		return &request.Failure{Code: request.CodeDuplicate, Outcome: request.Unknown, RetryAfter: retrySoon, Message: "a request with this key is running"}
	case claim.KeyReused:
		return request.Refuse(request.CodeKeyReused, 0, "the key was used for another request")
	case claim.KeyTooOld:
		return request.Refuse(request.CodeKeyTooOld, 0, "the key is older than keys are kept")
	case claim.KeyInvalid:
		return request.Refuse(request.CodeBadRequest, 0, "the key's time lies in the future")
	default:
		return &request.Failure{Code: request.CodeDuplicate, Outcome: request.Unknown, Message: "a request with this key may have run; it will not be run again"}
	}
}

func (r *callRun) release(ctx context.Context) {
	req := ledger.ReleaseRequest{Org: r.call.Org.Name, Key: r.call.Key, Attempt: r.id}
	r.background(ctx, claimTimeout, func(ctx context.Context) callEvent {
		_ = r.node.ledger.Release(ctx, req) // on failure the key stays claimed, so the call is never run twice
		return noDecisions
	})
}

func (r *callRun) settle(ctx context.Context, answer upstream.ServiceAnswer) {
	s := ledger.Settlement{Org: r.call.Org.Name, Key: r.call.Key, Attempt: r.id, Outcome: request.Completed, Answer: encodeAnswer(answer)}
	if answer.Status < http.StatusInternalServerError {
		b := r.billOf()
		s.Bill = &b
	}
	r.background(ctx, billTimeout, func(ctx context.Context) callEvent {
		_, err := r.node.ledger.Settle(ctx, s)
		return func() []lifecycle.Decision { return r.machine.Settled(err == nil) }
	})
}

func (r *callRun) settleUnknown(ctx context.Context) {
	s := ledger.Settlement{Org: r.call.Org.Name, Key: r.call.Key, Attempt: r.id, Outcome: request.Unknown}
	r.background(ctx, billTimeout, func(ctx context.Context) callEvent {
		_, _ = r.node.ledger.Settle(ctx, s) // an open claim means the same
		return noDecisions
	})
}

func noDecisions() []lifecycle.Decision { return nil }
