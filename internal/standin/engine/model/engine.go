package model

import "time"

// Engine is the batching and caching of one model engine. It is not safe for
// concurrent use.
type Engine struct {
	cfg   Config
	jobs  jobs
	queue slotHeap
	batch slotHeap
	// weight is the sum of the weights of the batch.
	weight int
	// decoders is how many jobs of the batch produce tokens.
	decoders int
	arrivals uint64

	// step counts the steps that have ended; the present one began at
	// stepStart and takes stepTime, which is 0 when the engine is idle.
	step      uint64
	stepStart time.Duration
	stepTime  time.Duration
	// changed asks for the end of the present step, because the batch or the
	// pace changed within it.
	changed bool
	slow    float64

	cache   prefixCache
	log     cacheLog
	history LoadHistory
}

// New returns an idle engine.
func New(cfg Config) (*Engine, error) {
	if err := cfg.Validate(); err != nil {
		return nil, err
	}
	return &Engine{
		cfg:     cfg,
		queue:   slotHeap{less: byPriority},
		batch:   slotHeap{less: byDue},
		slow:    1,
		cache:   newPrefixCache(cfg.CacheEntries),
		log:     newCacheLog(cfg),
		history: NewLoadHistory(cfg.LoadLag),
	}, nil
}

// Running is how many requests share the present step.
func (e *Engine) Running() int { return e.batch.len() }

// Queued is how many requests wait for the batch.
func (e *Engine) Queued() int { return e.queue.len() }

// Submit takes a request at the time of the last Advance. It reports false
// when the queue is full; the request has not run then and never will.
func (e *Engine) Submit(now time.Duration, r Request) (Ticket, bool) {
	full := e.batch.len() >= e.cfg.BatchLimit
	if full && e.cfg.QueueLimit > 0 && e.queue.len() >= e.cfg.QueueLimit {
		return 0, false
	}
	r.Tokens = max(r.Tokens, 1)
	e.arrivals++
	slot := e.jobs.take(r, e.arrivals)
	e.queue.push(e.jobs.slab, slot)
	if e.idle() {
		// Steps begin when there is work: the next Advance starts the first.
		e.stepStart = now
		e.changed = true
	}
	e.note(now)
	return ticketOf(slot, e.jobs.slab[slot].round), true
}

// Cancel gives up a request, queued or running. It reports false when the
// request has gone already.
func (e *Engine) Cancel(now time.Duration, t Ticket) bool {
	j := e.jobs.find(t)
	if j == nil {
		return false
	}
	if j.state == queued {
		e.queue.remove(e.jobs.slab, t.slot())
	} else {
		e.leave(t.slot())
		e.changed = true
	}
	e.jobs.release(t.slot())
	e.rest()
	e.note(now)
	return true
}

// SetSlow makes every step from the next one on factor times as long.
func (e *Engine) SetSlow(factor float64) {
	e.slow = factor
	e.changed = true
}

// Reset drops all work and forgets the cache, as a restart does.
func (e *Engine) Reset(now time.Duration) {
	for e.batch.len() > 0 {
		slot := e.batch.top()
		e.leave(slot)
		e.jobs.release(slot)
	}
	for e.queue.len() > 0 {
		slot := e.queue.top()
		e.queue.remove(e.jobs.slab, slot)
		e.jobs.release(slot)
	}
	e.cache = newPrefixCache(e.cfg.CacheEntries)
	e.log = newCacheLog(e.cfg)
	e.rest()
	e.note(now)
}

func (e *Engine) idle() bool { return e.stepTime == 0 }

// rest ends the step at once when no work is left.
func (e *Engine) rest() {
	if e.batch.len() == 0 && e.queue.len() == 0 {
		e.stepTime = 0
		e.changed = false
	}
}

func (e *Engine) leave(slot int32) {
	j := &e.jobs.slab[slot]
	e.batch.remove(e.jobs.slab, slot)
	e.weight -= j.weight()
	if j.state == decoding {
		e.decoders--
	}
}

func (e *Engine) note(now time.Duration) {
	e.history.Note(now, e.batch.len(), e.queue.len())
}
