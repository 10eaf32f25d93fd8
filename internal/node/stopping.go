package node

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hickorybank/hickorybank/internal/membership"
)

const stopInterval = 50 * time.Millisecond

// stopping carries out a planned stop.
type stopping struct {
	node    *Node
	refuses atomic.Bool

	mu      sync.Mutex
	machine *membership.Stopping
}

func newStopping(n *Node) *stopping {
	return &stopping{node: n, machine: membership.NewStopping(membership.Settings{AnswerTTL: n.settings.AddressTTL}.WithDefaults())}
}

// refusesNew reports whether new requests are refused.
func (s *stopping) refusesNew() bool { return s.refuses.Load() }

// run carries out the steps of a planned stop. It returns when all accepted requests have
// ended, or with the error of ctx.
func (s *stopping) run(ctx context.Context) error {
	ticker := time.NewTicker(stopInterval)
	defer ticker.Stop()
	if s.handle(ctx, membership.StopOrdered) {
		return nil
	}
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
			if s.handle(ctx, membership.Tick) {
				return nil
			}
		}
	}
}

// handle handles one event, carries out the resulting steps and reports whether the last step was
// reached.
func (s *stopping) handle(ctx context.Context, e membership.StopEvent) bool {
	s.mu.Lock()
	steps := s.machine.Step(time.Now(), e, int(s.node.running.Load()))
	s.mu.Unlock()
	for _, step := range steps {
		if s.carryOut(ctx, step) {
			return true
		}
	}
	return false
}

func (s *stopping) carryOut(ctx context.Context, step membership.StopStep) bool {
	switch step {
	case membership.LeaveAddresses:
		return s.leave(ctx)
	case membership.RefuseNew:
		s.refuses.Store(true)
	case membership.CloseIdle:
		// Nothing to do: answers carry "Connection: close", and Close waits until the
		// remaining connections are idle before it closes them.
	case membership.Flush:
		s.node.suspects.announceStop()
		return s.flush(ctx)
	case membership.Exit:
		return true
	}
	return false
}

// closing sets "Connection: close" in each answer while new requests are refused, so that the
// caller does not reuse the connection. Otherwise closing it could break off a request that is
// in transit.
func (s *stopping) closing(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if s.refusesNew() {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
}

func (s *stopping) leave(ctx context.Context) bool {
	s.node.members.MarkLeaving(s.node.settings.ID)
	if s.node.sync.AnnounceLeaving(ctx) > 0 {
		return s.handle(ctx, membership.PeersUnreachable)
	}
	return s.handle(ctx, membership.PeersNotified)
}

func (s *stopping) flush(ctx context.Context) bool {
	if err := s.node.ledger.Close(ctx); err != nil {
		return false
	}
	return s.handle(ctx, membership.BillsFlushed)
}

// Close stops the node as planned. It removes the node from the entry addresses, serves until
// cached address answers have expired, completes running requests, makes their bills durable
// and stops all components. The error is that of ctx if it ended before the last step.
func (n *Node) Close(ctx context.Context) error {
	if n.carrier != nil {
		n.carrier.Stop()
	}
	err := n.stopping.run(ctx)
	if n.carrier != nil {
		n.carrier.Wait(ctx)
	}
	n.callers.close(ctx)
	if n.adminServer != nil {
		_ = n.adminServer.Close()
	}
	n.stop()
	_ = n.rollouts.Close(ctx)
	n.share.Close()
	_ = n.ledger.Close(ctx)
	_ = n.sync.Close(ctx)
	n.peers.Close()
	n.pool.Close()
	n.syncPool.Close()
	n.duties.Wait()
	return err
}
