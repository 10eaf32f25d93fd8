package share

import (
	"context"
	"time"

	"github.com/hickorybank/hickorybank/internal/duty"
	"github.com/hickorybank/hickorybank/internal/peer"
)

// The methods that peers call.
const (
	serviceName  = "Choice"
	methodReport = serviceName + ".Report"
	methodGrant  = serviceName + ".Grant"
	methodHold   = serviceName + ".Hold"
)

// Share carries a node's part of version choice.
type Share struct {
	deps    Deps
	reports *reports
	grants  *grants
	holds   *holds
	archive *archive

	duties duty.Group
	stop   context.CancelFunc
}

// New returns a share that is not yet started.
func New(d Deps) *Share {
	s := &Share{deps: d, grants: newGrants(d), holds: newHolds(d), archive: newArchive(d)}
	s.reports = newReports(d, s.archive)
	return s
}

// Register offers the methods that peers call.
func (s *Share) Register(server *peer.Server) error {
	return server.Register(serviceName, &service{share: s})
}

// Start begins the duties.
func (s *Share) Start() error {
	ctx, cancel := context.WithCancel(context.Background())
	s.stop = cancel
	s.duties.Go(func() { every(ctx, tick, s.reports.send) })
	s.duties.Go(func() { every(ctx, tick, s.grants.ask) })
	s.duties.Go(func() { every(ctx, tick/4, s.holds.spread) })
	s.duties.Go(func() { every(ctx, scanGap, s.holds.scan) })
	s.duties.Go(func() { every(ctx, saveGap, s.archive.exchange) })
	return nil
}

// Close stops the duties and waits for them.
func (s *Share) Close() {
	if s.stop != nil {
		s.stop()
	}
	s.duties.Wait()
}

// every calls do at once and then again and again until the context ends. A
// call that takes longer than the gap delays the next one.
func every(ctx context.Context, gap time.Duration, do func(ctx context.Context, now time.Time)) {
	ticker := time.NewTicker(gap)
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
