package confsync

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/conc/pool"

	"github.com/hickorybank/hickorybank/internal/platform"
)

const (
	// maxAnnounceCalls is the maximum number of concurrent calls of an announcement.
	maxAnnounceCalls = 16
	// announceRetryDelay is the delay before a peer that did not respond is called again.
	announceRetryDelay = 200 * time.Millisecond
	// announceTimeout bounds the whole announcement: a dead peer never responds.
	announceTimeout = 3 * time.Second
)

// AnnounceLeaving notifies the peers that this node stops, so that they omit it from the
// addresses that they give out. It notifies all peers if they are few, otherwise the readers
// of each failure domain, which pass the notice down their trees within one more call. It
// returns the number of peers that could not be notified within 3 s or before ctx ended.
func (s *Syncer) AnnounceLeaving(ctx context.Context) (unreached int) {
	ctx, cancel := context.WithTimeout(ctx, announceTimeout)
	defer cancel()
	ask := func(t Token) Event { return StopOrdered{Token: t} }
	answer, err := s.ask(ctx, ask)
	if err != nil {
		return 1 // no peer was notified, and their number is unknown
	}
	announcement := answer.(SendNotice)
	var failures atomic.Int64
	calls := pool.New().WithMaxGoroutines(maxAnnounceCalls)
	for _, vm := range announcement.Peers {
		calls.Go(func() {
			if !s.sendNotice(ctx, vm, announcement.Notice) {
				failures.Add(1)
			}
		})
	}
	calls.Wait()
	return int(failures.Load())
}

// sendNotice notifies a peer, with retries, until ctx ends; it reports whether it succeeded.
func (s *Syncer) sendNotice(ctx context.Context, vm platform.VM, n Notice) bool {
	for ctx.Err() == nil {
		var reply NoticeReply
		if s.call(s.settings.CallTimeout, vm.Peer, "Notice", n, &reply) == nil {
			return true
		}
		select {
		case <-ctx.Done():
		case <-s.ctx.Done():
			return false
		case <-time.After(announceRetryDelay):
		}
	}
	return false
}
