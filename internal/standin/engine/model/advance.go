package model

import "time"

// Next returns the time of the next event or change of the batch, provided that no
// other call changes the engine before. ok is false when the engine has no work.
func (e *Engine) Next() (at time.Duration, ok bool) {
	if e.idle() {
		return e.stepStart, e.queue.len() > 0
	}
	return e.stepEnd(e.nextEventStep()), true
}

// Advance advances the engine to now and appends the events up to then to out. now must
// not decrease between calls.
func (e *Engine) Advance(now time.Duration, out []Event) []Event {
	for {
		at, ok := e.Next()
		if !ok {
			return out
		}
		if at > now {
			e.skipSteps(now)
			return out
		}
		out = e.endStep(at, out)
	}
}

// nextEventStep returns the number of the next step whose end has an event or a change
// of the batch.
func (e *Engine) nextEventStep() uint64 {
	canJoin := e.queue.len() > 0 && e.batch.len() < e.cfg.BatchLimit
	if canJoin || e.changed || e.batch.len() == 0 {
		return e.step + 1
	}
	if e.cfg.EveryToken && e.decoders > 0 {
		return e.step + 1
	}
	return e.jobs.slab[e.batch.top()].dueStep
}

// stepEnd returns the time at which the step with a number ends.
func (e *Engine) stepEnd(step uint64) time.Duration {
	return e.stepStart + time.Duration(step-e.step)*e.stepTime
}

// skipSteps advances over the steps that end by now. None of them has an event.
func (e *Engine) skipSteps(now time.Duration) {
	if e.idle() {
		return
	}
	n := (now - e.stepStart) / e.stepTime
	e.step += uint64(n)
	e.stepStart += n * e.stepTime
}

// endStep ends the step that ends at the time at, appends its events and starts the
// next step.
func (e *Engine) endStep(at time.Duration, out []Event) []Event {
	if !e.idle() {
		e.step += uint64((at - e.stepStart) / e.stepTime)
	}
	e.stepStart = at
	e.changed = false
	if e.cfg.EveryToken {
		out = e.appendTokenEvents(at, out)
	}
	out = e.completePhases(at, out)
	out = e.fillBatch(at, out)
	e.stepTime = e.stepDuration()
	e.stopIfEmpty()
	e.recordLoad(at)
	return out
}

// stepDuration returns how long a step with the current batch takes.
func (e *Engine) stepDuration() time.Duration {
	normal := e.cfg.StepBase + time.Duration(e.weight)*e.cfg.StepSlope
	return max(time.Duration(float64(normal)*e.slowFactor), 1)
}

// appendTokenEvents appends an event for each job that is decoding. First tokens are
// not included; completePhases reports them.
func (e *Engine) appendTokenEvents(at time.Duration, out []Event) []Event {
	for _, slot := range e.batch.slots {
		j := &e.jobs.slab[slot]
		if j.state == decoding {
			out = append(out, e.event(at, Token, slot))
		}
	}
	return out
}

// completePhases handles the jobs whose first or last token is produced by this step.
func (e *Engine) completePhases(at time.Duration, out []Event) []Event {
	for e.batch.len() > 0 {
		slot := e.batch.top()
		j := &e.jobs.slab[slot]
		if j.dueStep > e.step {
			break
		}
		if j.state == prefilling {
			e.startDecoding(at, j)
			out = append(out, e.event(at, First, slot))
		}
		if j.dueStep > e.step {
			e.batch.fix(e.jobs.slab)
			continue
		}
		out = append(out, e.event(at, Finished, slot))
		e.removeFromBatch(slot)
		e.jobs.release(slot)
	}
	return out
}

// startDecoding moves a job from prefilling to decoding and caches its prefix.
func (e *Engine) startDecoding(at time.Duration, j *job) {
	j.state = decoding
	j.firstTokenStep = e.step
	j.dueStep = e.step + uint64(j.req.Tokens-1)
	e.weight -= PrefillWeight - 1
	e.decoders++
	e.store(at, j.req.Prefix)
}

// fillBatch moves jobs from the queue to the batch up to the batch limit.
func (e *Engine) fillBatch(at time.Duration, out []Event) []Event {
	for e.queue.len() > 0 && e.batch.len() < e.cfg.BatchLimit {
		slot := e.queue.top()
		e.queue.remove(e.jobs.slab, slot)
		j := &e.jobs.slab[slot]
		j.state = prefilling
		j.cached = e.cache.touch(j.req.Prefix)
		j.dueStep = e.step + e.prefillSteps(j)
		e.weight += PrefillWeight
		e.batch.push(e.jobs.slab, slot)
		out = append(out, e.event(at, Started, slot))
	}
	return out
}

// prefillSteps returns the number of steps that the job's prompt takes.
func (e *Engine) prefillSteps(j *job) uint64 {
	prefill := j.req.Prefill
	if j.cached {
		prefill /= CachedPrefillDivisor
	}
	singleStep := e.cfg.StepBase + PrefillWeight*e.cfg.StepSlope
	return uint64(max((prefill+singleStep-1)/singleStep, 1))
}

// event returns an event of the job in a slot.
func (e *Engine) event(at time.Duration, kind EventKind, slot int32) Event {
	j := &e.jobs.slab[slot]
	var count int32
	if j.state == decoding {
		count = int32(e.step-j.firstTokenStep) + 1
	}
	return Event{At: at, ID: j.req.ID, Ticket: ticketOf(slot, j.reuses), Count: count, Kind: kind, Cached: j.cached}
}
