package gateway

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/hickorybank/hickorybank/internal/canary"
	"github.com/hickorybank/hickorybank/internal/gossip"
	"github.com/hickorybank/hickorybank/internal/revision"
	"github.com/hickorybank/hickorybank/internal/telemetry"
)

// recordingSource is a table that accepts verdicts.
type recordingSource struct {
	Source
	recorded chan canary.Verdict
}

func (s *recordingSource) Record(_ context.Context, _ canary.Order, v canary.Verdict) (canary.Verdict, error) {
	s.recorded <- v
	return v, nil
}

// newSilentPeer accepts connections and never answers; called receives each connection.
func newSilentPeer(t *testing.T) (addr string, called <-chan net.Conn) {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	conns := make(chan net.Conn, 16)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return // the test is over
			}
			conns <- c
		}
	}()
	t.Cleanup(func() { _ = l.Close() })
	return l.Addr().String(), conns
}

// Regression: a verdict reached the table after the rollout's limit. The node notified
// its peers first, some of them unreachable, and wrote the verdict only after their
// timeouts.
func TestVerdictIsRecordedBeforePeersAreNotified(t *testing.T) {
	is := is.New(t)
	addr, called := newSilentPeer(t)
	source := &recordingSource{recorded: make(chan canary.Verdict, 1)}
	n := New(Settings{ID: "n1", ExposeShare: 0.15, ExposeSlack: 30}, Deps{
		Source: source, Log: slog.New(slog.DiscardHandler), Metrics: telemetry.New(telemetry.Bounds{}),
	})
	n.roster.Merge([]gossip.Member{{ID: "n2", Born: 1, Peer: addr, Ready: true, Beat: 1}}, time.Now())
	order := canary.Order{Service: "engine", Target: "v2", Limit: time.Minute, Revision: 1}
	is.True(n.canary.AddOrder(order, time.Now()))
	n.applyDecision(t.Context(), canary.Decision{Order: order, Verdict: canary.Completed, Reached: true}, map[string]time.Time{})
	is.Equal(<-source.recorded, canary.Completed)
	select {
	case <-called:
		t.Fatal("a peer was notified before the verdict was recorded")
	default:
	}
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		n.pushRollouts(ctx)
	}()
	_ = (<-called).Close() // afterwards it is notified
	cancel()
	<-done
}

// unavailableSource is a table that fails to record verdicts until it is available.
type unavailableSource struct {
	Source
	available bool
	tries     int
}

func (s *unavailableSource) Record(_ context.Context, _ canary.Order, v canary.Verdict) (canary.Verdict, error) {
	s.tries++
	if !s.available {
		return canary.Open, errors.New("table unavailable")
	}
	return v, nil
}

// Regression: an unavailable table got hundreds of calls. Every node that had its turn
// retried a verdict each second. Each may try once; then the verdict waits until some
// node has read the table again.
func TestVerdictWaitsWhileTableIsUnavailable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		source := &unavailableSource{}
		n := New(Settings{ID: "n1", Drain: 3 * time.Second, Apply: 3 * time.Second}, Deps{
			Source: source, Log: slog.New(slog.DiscardHandler), Metrics: telemetry.New(telemetry.Bounds{}),
		})
		order := canary.Order{Service: "engine", Target: "v2", Limit: time.Minute, Revision: 1}
		n.canary.AddOrder(order, time.Now())
		next := map[string]time.Time{}
		follow := func(made bool) {
			n.applyDecision(t.Context(), canary.Decision{Order: order, Verdict: canary.Completed, Reached: made}, next)
			time.Sleep(rolloutTickInterval)
		}
		n.view.listAsOf = time.Now()
		time.Sleep(time.Second)
		n.view.outageAt = time.Now()
		follow(true)
		is.Equal(source.tries, 1) // the first failure may be this node's own
		for range 40 {
			follow(false)
		}
		is.Equal(source.tries, 1)
		source.available = true
		n.view.listAsOf = time.Now()
		follow(false)
		is.Equal(source.tries, 2)
		is.Equal(n.announcedRevision["engine"], revision.Revision(1)) // it is recorded
	})
}
