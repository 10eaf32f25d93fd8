package node

import (
	"context"
	"time"

	"github.com/hickorybank/hickorybank/internal/choice"
	"github.com/hickorybank/hickorybank/internal/platform"
)

const (
	raterRing    = 256
	raterWorkers = 8 // a rating may take seconds
	raterTimeout = 5 * time.Second
)

// raters has sampled answers rated away from the callers' path.
type raters struct {
	node *Node
	ring chan sample
}

// sample is an answer to be rated.
type sample struct {
	req   platform.RateRequest
	again bool
	short bool
}

func newRaters(n *Node) *raters { return &raters{node: n, ring: make(chan sample, raterRing)} }

// offer puts an answer in line, or drops it when the ring is full: a sample
// more or less does not matter, a caller's wait does.
func (r *raters) offer(s sample) {
	select {
	case r.ring <- s:
	default:
	}
}

func (r *raters) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case s := <-r.ring:
			r.rate(ctx, s)
		}
	}
}

func (r *raters) rate(ctx context.Context, s sample) {
	o := choice.Observation{Version: s.req.Version, Class: s.req.Class, Sampled: true, IsFallback: s.short}
	score, ok := r.once(ctx, s.req)
	if !ok {
		return
	}
	o.Score = score
	if s.again {
		o.Again, o.HasAgain = r.once(ctx, s.req)
	}
	o.Now = time.Now()
	r.node.chooser.Observe(o)
}

func (r *raters) once(ctx context.Context, req platform.RateRequest) (float64, bool) {
	ctx, cancel := context.WithTimeout(ctx, raterTimeout)
	defer cancel()
	score, err := r.node.deps.Platform.Rate(ctx, req)
	if err != nil {
		r.node.chooser.ObserveRatingFailure(time.Now())
		return 0, false
	}
	return score, true
}
