package node

import (
	"errors"
	"time"

	"github.com/hickorybank/hickorybank/internal/request"
	"github.com/hickorybank/hickorybank/internal/telemetry"
)

// measure counts one finished chat request.
func (r *chatRun) measure(answer request.Answer, err error) {
	now := time.Now()
	o := telemetry.Observation{
		Outcome: request.Completed, Version: answer.Version, Total: now.Sub(r.arrived), Cost: answer.Cost,
		InputTokens: answer.Usage.InputTokens, OutputTokens: answer.Usage.OutputTokens, CachedTokens: r.cachedTokens,
	}
	if !r.admitted.IsZero() {
		o.Queued = r.admitted.Sub(r.arrived)
	}
	if !r.answerBegan.IsZero() {
		o.FirstToken = r.answerBegan.Sub(r.arrived)
	}
	if r.sink.Streams() && o.OutputTokens > 1 {
		o.TokenGap = now.Sub(r.answerBegan) / time.Duration(o.OutputTokens-1)
	}
	recordFailure(&o, err)
	r.node.metrics.Request(r.call.Org.Name, r.class.Name).Observe(&o)
}

// measure counts one finished service call.
func (r *callRun) measure(arrived time.Time, result callResult) {
	o := telemetry.Observation{Outcome: request.Completed, Total: time.Since(arrived), FirstToken: result.took, Cost: r.call.Call.Cost}
	if result.failure != nil {
		recordFailure(&o, result.failure)
	}
	r.node.metrics.Request(r.call.Org.Name, r.class.Name).Observe(&o)
}

func recordFailure(o *telemetry.Observation, err error) {
	var f *request.Failure
	if errors.As(err, &f) {
		o.Outcome = f.Outcome
		o.Code = f.Code
		o.Cost = 0
	}
}
