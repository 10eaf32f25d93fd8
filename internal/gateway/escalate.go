package gateway

import (
	"log/slog"
	"strconv"
	"time"

	"github.com/hickorybank/hickorybank/internal/canary"
	"github.com/hickorybank/hickorybank/internal/cascade"
	"github.com/hickorybank/hickorybank/internal/event"
	"github.com/hickorybank/hickorybank/internal/fleet"
)

// escalate returns the larger model that should answer instead of this one, if any.
func (j *job) escalate(a *attempt, reply Reply) string {
	if j.model == "" || j.answerStarted || j.trial != 0 || !reply.HasConfidence {
		return ""
	}
	state := j.cascadeState(a)
	next := j.node.cascadePolicy.Next(state, j.model, reply.Confidence)
	if next == "" {
		if j.node.cascadePolicy.AcceptedForLoad(state, j.model, reply.Confidence) {
			j.node.metrics.Counter("hickorybank_degraded_answers_total", "organisation", j.orgLabel(), "priority", strconv.Itoa(j.priority)).Inc()
		}
		return ""
	}
	attrs := []slog.Attr{
		slog.String("upstream", a.id), slog.String("model", j.model), slog.String("next", next),
		slog.Int("confidence", reply.Confidence), slog.Int("asked", j.node.cascadePolicy.Accept(state)),
		slog.Int("slots_in_use_percent", int(100*state.Load)),
		slog.Int64("largest_ms", state.Largest.Milliseconds()), slog.Int64("left_ms", state.Left.Milliseconds()),
	}
	if v := j.reserveEscalation(next, reply.Confidence); v != mayMove {
		// Without a further attempt the small model's answer is the only one.
		j.node.logEvent(event.ForwardLowConfidence, j, append(attrs, slog.String("larger_run", string(v)))...)
		return ""
	}
	j.node.logEvent(event.ForwardEscalated, j, attrs...)
	return next
}

// reserveEscalation takes an attempt at a larger model from the retry budget, if the request may run
// again and an upstream can take it now.
func (j *job) reserveEscalation(larger string, confidence int) verdict {
	switch {
	case !j.mayAttempt():
		return noAttemptLeft
	case !j.mayRun():
		return mayNotRun
	case !j.hasUpstreamFor(larger):
		return noOther
	case !j.node.allowRetry(j.service, cascade.Reserve(confidence)):
		return noBudget
	}
	j.retryReserved = true
	return mayMove
}

// hasUpstreamFor reports whether an upstream can take the job's next attempt with a model.
func (j *job) hasUpstreamFor(model string) bool {
	current := j.model
	j.model = model
	defer func() { j.model = current }()
	return j.node.hasUpstream(j, time.Now())
}

// initialCascadeState returns the input of the model choice before the first attempt.
func (j *job) initialCascadeState() cascade.State {
	j.node.mu.Lock()
	defer j.node.mu.Unlock()
	return j.initialCascadeStateAt(time.Now())
}

// initialCascadeStateAt is initialCascadeState for a caller that holds the node's mu.
func (j *job) initialCascadeStateAt(now time.Time) cascade.State {
	n := j.node
	models := j.route.Models
	smallest, largest := j.attemptSpec(canary.Rule{}), j.attemptSpec(canary.Rule{})
	smallest.Model, largest.Model = models[0], models[len(models)-1]
	return cascade.State{
		Models: models, Attempts: j.attemptsLeft(), Resumed: j.lastEvent != "", Left: j.route.LatencyGoal - now.Sub(j.start),
		Smallest: n.fleet.TimeToFirstEvent(&smallest, now), Largest: n.fleet.TimeToFirstEvent(&largest, now),
	}
}

// cascadeState returns the input of the model choice after an attempt that ran.
func (j *job) cascadeState(a *attempt) cascade.State {
	j.node.mu.Lock()
	defer j.node.mu.Unlock()
	return j.cascadeStateAt(a.version, a.spec, time.Now())
}

// cascadeStateAt returns the input of the model choice after an attempt at a version; the caller
// holds the node's mu.
func (j *job) cascadeStateAt(version string, spec fleet.AttemptSpec, now time.Time) cascade.State {
	n := j.node
	load := n.fleet.ServiceLoad(j.service, version, now)
	spec.Model = j.route.Models[len(j.route.Models)-1]
	return cascade.State{
		Models: j.route.Models, Attempts: j.attemptsLeft(), Load: load,
		Left: j.route.LatencyGoal - now.Sub(j.start), Largest: n.fleet.TimeToFirstEvent(&spec, now),
	}
}
