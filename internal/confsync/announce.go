package confsync

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/conc/pool"

	"github.com/hickorybank/hickorybank/internal/platform"
)

const (
	// maxTelling bounds the calls of one announcement that run at once.
	maxTelling = 16
	// tellRetry is the time before a peer that did not answer is told again.
	tellRetry = 200 * time.Millisecond
	// tellTime bounds the whole announcement: a dead peer is never told.
	tellTime = 3 * time.Second
)

// AnnounceLeaving tells the peers that this node stops, so that they leave it
// out of the addresses they give. It tells the readers of each failure domain,
// which pass it down their trees within one more call, and returns how many
// peers could not be told within 3 s or before ctx ended.
func (s *Syncer) AnnounceLeaving(ctx context.Context) (missed int) {
	ctx, cancel := context.WithTimeout(ctx, tellTime)
	defer cancel()
	ask := func(t Token) Event { return StopOrdered{Token: t} }
	answer, err := s.ask(ctx, ask)
	if err != nil {
		return 1 // nobody was told, and who should have been is not known
	}
	tell := answer.(Tell)
	var untold atomic.Int64
	calls := pool.New().WithMaxGoroutines(maxTelling)
	for _, vm := range tell.Peers {
		calls.Go(func() {
			if !s.tell(ctx, vm, tell.Notice) {
				untold.Add(1)
			}
		})
	}
	calls.Wait()
	return int(untold.Load())
}

func (s *Syncer) tell(ctx context.Context, vm platform.VM, n Notice) bool {
	for ctx.Err() == nil {
		var reply NoticeReply
		if s.call(s.settings.CallTimeout, vm.Peer, "Notice", n, &reply) == nil {
			return true
		}
		select {
		case <-ctx.Done():
		case <-s.ctx.Done():
			return false
		case <-time.After(tellRetry):
		}
	}
	return false
}
