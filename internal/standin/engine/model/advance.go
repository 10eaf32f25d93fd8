package model

import "time"

// Next returns when the next thing happens if nothing comes in before; ok is
// false when the engine is idle.
func (e *Engine) Next() (at time.Duration, ok bool) {
	if e.idle() {
		return e.stepStart, e.queue.len() > 0
	}
	return e.endOf(e.nextStep()), true
}

// Advance carries the engine to now and appends what happened to out. Calls
// must not go back in time.
func (e *Engine) Advance(now time.Duration, out []Event) []Event {
	for {
		at, ok := e.Next()
		if !ok {
			return out
		}
		if at > now {
			e.skip(now)
			return out
		}
		out = e.endStep(at, out)
	}
}

// nextStep is the number of the next step at whose end something happens.
func (e *Engine) nextStep() uint64 {
	joins := e.queue.len() > 0 && e.batch.len() < e.cfg.BatchLimit
	if joins || e.changed || e.batch.len() == 0 {
		return e.step + 1
	}
	if e.cfg.EveryToken && e.decoders > 0 {
		return e.step + 1
	}
	return e.jobs.slab[e.batch.top()].due
}

// endOf returns when the step with this number ends.
func (e *Engine) endOf(step uint64) time.Duration {
	return e.stepStart + time.Duration(step-e.step)*e.stepTime
}

// skip passes the steps that end by now and at whose end nothing happens.
func (e *Engine) skip(now time.Duration) {
	if e.idle() {
		return
	}
	n := (now - e.stepStart) / e.stepTime
	e.step += uint64(n)
	e.stepStart += n * e.stepTime
}

// endStep ends the step at the time at and begins the next one.
func (e *Engine) endStep(at time.Duration, out []Event) []Event {
	if !e.idle() {
		e.step += uint64((at - e.stepStart) / e.stepTime)
	}
	e.stepStart = at
	e.changed = false
	if e.cfg.EveryToken {
		out = e.tokens(at, out)
	}
	out = e.due(at, out)
	out = e.join(at, out)
	e.stepTime = e.pace()
	e.rest()
	e.note(at)
	return out
}

// pace is how long a step of the present batch takes.
func (e *Engine) pace() time.Duration {
	lone := e.cfg.StepBase + time.Duration(e.weight)*e.cfg.StepSlope
	return max(time.Duration(float64(lone)*e.slow), 1)
}

// tokens reports the token of each job that produces one, but for those whose
// first token is due.
func (e *Engine) tokens(at time.Duration, out []Event) []Event {
	for _, slot := range e.batch.slots {
		j := &e.jobs.slab[slot]
		if j.state == decoding {
			out = append(out, e.event(at, Token, slot))
		}
	}
	return out
}

// due handles the jobs whose first or last token came with this step.
func (e *Engine) due(at time.Duration, out []Event) []Event {
	for e.batch.len() > 0 {
		slot := e.batch.top()
		j := &e.jobs.slab[slot]
		if j.due > e.step {
			break
		}
		if j.state == prefilling {
			e.decode(at, j)
			out = append(out, e.event(at, First, slot))
		}
		if j.due > e.step {
			e.batch.fix(e.jobs.slab)
			continue
		}
		out = append(out, e.event(at, Finished, slot))
		e.leave(slot)
		e.jobs.release(slot)
	}
	return out
}

// decode turns a job whose prompt is read into one that produces tokens.
func (e *Engine) decode(at time.Duration, j *job) {
	j.state = decoding
	j.first = e.step
	j.due = e.step + uint64(j.req.Tokens-1)
	e.weight -= PrefillWeight - 1
	e.decoders++
	e.store(at, j.req.Prefix)
}

// join fills the batch from the queue.
func (e *Engine) join(at time.Duration, out []Event) []Event {
	for e.queue.len() > 0 && e.batch.len() < e.cfg.BatchLimit {
		slot := e.queue.top()
		e.queue.remove(e.jobs.slab, slot)
		j := &e.jobs.slab[slot]
		j.state = prefilling
		j.cached = e.cache.touch(j.req.Prefix)
		j.due = e.step + e.prefillSteps(j)
		e.weight += PrefillWeight
		e.batch.push(e.jobs.slab, slot)
		out = append(out, e.event(at, Started, slot))
	}
	return out
}

// prefillSteps is how many steps the job's prompt takes to read.
func (e *Engine) prefillSteps(j *job) uint64 {
	prefill := j.req.Prefill
	if j.cached {
		prefill /= CachedPrefillDivisor
	}
	lone := e.cfg.StepBase + PrefillWeight*e.cfg.StepSlope
	return uint64(max((prefill+lone-1)/lone, 1))
}

func (e *Engine) event(at time.Duration, kind EventKind, slot int32) Event {
	j := &e.jobs.slab[slot]
	var count int32
	if j.state == decoding {
		count = int32(e.step-j.first) + 1
	}
	return Event{At: at, ID: j.req.ID, Ticket: ticketOf(slot, j.round), Count: count, Kind: kind, Cached: j.cached}
}
