package model

import "time"

// Engine simulates the batching and caching of one model engine. It is not safe for
// concurrent use.
type Engine struct {
	cfg   Config
	jobs  jobSlab
	queue slotHeap
	batch slotHeap
	// weight is the sum of the weights of the batch.
	weight int
	// decoders is the number of decoding jobs in the batch.
	decoders int
	arrivals uint64

	// step is the number of steps that have ended. The current one started at stepStart
	// and takes stepTime, which is 0 when the engine is idle.
	step      uint64
	stepStart time.Duration
	stepTime  time.Duration
	// changed means that the batch or the slow factor changed during the current step,
	// so that its end must not be skipped.
	changed    bool
	slowFactor float64

	cache   prefixCache
	log     cacheLog
	history LoadHistory
}

// New returns an idle engine, or an error for an invalid configuration.
func New(cfg Config) (*Engine, error) {
	if err := cfg.Validate(); err != nil {
		return nil, err
	}
	return &Engine{
		cfg:        cfg,
		queue:      slotHeap{less: byPriority},
		batch:      slotHeap{less: byDue},
		slowFactor: 1,
		cache:      newPrefixCache(cfg.CacheEntries),
		log:        newCacheLog(cfg),
		history:    NewLoadHistory(cfg.LoadLag),
	}, nil
}

// Running returns the number of requests in the batch.
func (e *Engine) Running() int { return e.batch.len() }

// Queued returns the number of requests that wait for the batch.
func (e *Engine) Queued() int { return e.queue.len() }

// Submit queues a request. now must be the time of the last Advance. It reports false
// when the queue is full; the request then never runs.
func (e *Engine) Submit(now time.Duration, r Request) (Ticket, bool) {
	full := e.batch.len() >= e.cfg.BatchLimit
	if full && e.cfg.QueueLimit > 0 && e.queue.len() >= e.cfg.QueueLimit {
		return 0, false
	}
	r.Tokens = max(r.Tokens, 1)
	e.arrivals++
	slot := e.jobs.allocate(r, e.arrivals)
	e.queue.push(e.jobs.slab, slot)
	if e.idle() {
		// The next Advance starts the first step at this time.
		e.stepStart = now
		e.changed = true
	}
	e.recordLoad(now)
	return ticketOf(slot, e.jobs.slab[slot].reuses), true
}

// Cancel removes a queued or running request. It reports false when the engine no longer
// has the request.
func (e *Engine) Cancel(now time.Duration, t Ticket) bool {
	j := e.jobs.find(t)
	if j == nil {
		return false
	}
	if j.state == queued {
		e.queue.remove(e.jobs.slab, t.slot())
	} else {
		e.removeFromBatch(t.slot())
		e.changed = true
	}
	e.jobs.release(t.slot())
	e.stopIfEmpty()
	e.recordLoad(now)
	return true
}

// SetSlow multiplies the time of every step by factor, starting with the next step.
func (e *Engine) SetSlow(factor float64) {
	e.slowFactor = factor
	e.changed = true
}

// Reset drops all requests and clears the cache, as a restart does.
func (e *Engine) Reset(now time.Duration) {
	for e.batch.len() > 0 {
		slot := e.batch.top()
		e.removeFromBatch(slot)
		e.jobs.release(slot)
	}
	for e.queue.len() > 0 {
		slot := e.queue.top()
		e.queue.remove(e.jobs.slab, slot)
		e.jobs.release(slot)
	}
	e.cache = newPrefixCache(e.cfg.CacheEntries)
	e.log = newCacheLog(e.cfg)
	e.stopIfEmpty()
	e.recordLoad(now)
}

func (e *Engine) idle() bool { return e.stepTime == 0 }

// stopIfEmpty makes the engine idle when no work is left, without waiting for the end of
// the step.
func (e *Engine) stopIfEmpty() {
	if e.batch.len() == 0 && e.queue.len() == 0 {
		e.stepTime = 0
		e.changed = false
	}
}

// removeFromBatch removes the job in a slot from the batch.
func (e *Engine) removeFromBatch(slot int32) {
	j := &e.jobs.slab[slot]
	e.batch.remove(e.jobs.slab, slot)
	e.weight -= j.weight()
	if j.state == decoding {
		e.decoders--
	}
}

func (e *Engine) recordLoad(now time.Duration) {
	e.history.Record(now, e.batch.len(), e.queue.len())
}
