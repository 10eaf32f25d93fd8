package node

import (
	"context"
	"time"

	"github.com/hickorybank/hickorybank/internal/choice"
	"github.com/hickorybank/hickorybank/internal/platform"
)

const (
	raterQueueSize = 256
	raterWorkers   = 8 // a rating may take seconds
	raterTimeout   = 5 * time.Second
)

// raters rates sampled answers in the background, so that callers do not wait for it.
type raters struct {
	node  *Node
	queue chan sample
}

// sample is an answer to be rated.
type sample struct {
	req           platform.RateRequest
	twice         bool // rate it twice
	afterLowScore bool // an earlier stage's answer scored below the threshold or got no score
}

func newRaters(n *Node) *raters { return &raters{node: n, queue: make(chan sample, raterQueueSize)} }

// offer queues an answer, or drops it when the queue is full: losing a sample is harmless,
// while blocking would delay a caller.
func (r *raters) offer(s sample) {
	select {
	case r.queue <- s:
	default:
	}
}

func (r *raters) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case s := <-r.queue:
			r.rate(ctx, s)
		}
	}
}

func (r *raters) rate(ctx context.Context, s sample) {
	o := choice.Observation{Version: s.req.Version, Class: s.req.Class, Sampled: true, IsFallback: s.afterLowScore}
	score, ok := r.score(ctx, s.req)
	if !ok {
		return
	}
	o.Score = score
	if s.twice {
		o.Again, o.HasAgain = r.score(ctx, s.req)
	}
	o.Now = time.Now()
	r.node.chooser.Observe(o)
}

func (r *raters) score(ctx context.Context, req platform.RateRequest) (float64, bool) {
	ctx, cancel := context.WithTimeout(ctx, raterTimeout)
	defer cancel()
	score, err := r.node.deps.Platform.Rate(ctx, req)
	if err != nil {
		r.node.chooser.ObserveRatingFailure(time.Now())
		return 0, false
	}
	return score, true
}
