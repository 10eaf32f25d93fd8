package share

import (
	"context"
	"time"

	"github.com/hickorybank/hickorybank/internal/duty"
	"github.com/hickorybank/hickorybank/internal/peer"
)

// The net/rpc methods that peers call.
const (
	serviceName  = "Choice"
	methodReport = serviceName + ".Report"
	methodGrant  = serviceName + ".Grant"
	methodHold   = serviceName + ".Hold"
)

// Share runs a node's part in the exchange of version-choice state.
type Share struct {
	deps    Deps
	reports *reports
	grants  *grants
	holds   *holds
	archive *archive

	loops duty.Group
	stop  context.CancelFunc
}

// New returns a share that has not been started.
func New(d Deps) *Share {
	s := &Share{deps: d, grants: newGrants(d), holds: newHolds(d), archive: newArchive(d)}
	s.reports = newReports(d, s.archive)
	return s
}

// Register registers the methods that peers call.
func (s *Share) Register(server *peer.Server) error {
	return server.Register(serviceName, &service{share: s})
}

// Start starts the background loops. The error is always nil.
func (s *Share) Start() error {
	ctx, cancel := context.WithCancel(context.Background())
	s.stop = cancel
	s.loops.Go(func() { runEvery(ctx, loopInterval, s.reports.send) })
	s.loops.Go(func() { runEvery(ctx, loopInterval, s.grants.requestGrants) })
	s.loops.Go(func() { runEvery(ctx, loopInterval/4, s.holds.publish) })
	s.loops.Go(func() { runEvery(ctx, holdScanInterval, s.holds.scan) })
	s.loops.Go(func() { runEvery(ctx, archiveInterval, s.archive.exchange) })
	return nil
}

// Close stops the background loops and waits for them.
func (s *Share) Close() {
	if s.stop != nil {
		s.stop()
	}
	s.loops.Wait()
}

// runEvery calls do at once and then at every interval until the context ends. A call
// that takes longer than the interval delays the next one.
func runEvery(ctx context.Context, interval time.Duration, do func(ctx context.Context, now time.Time)) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		do(ctx, time.Now())
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}
