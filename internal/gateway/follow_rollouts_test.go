package gateway

import (
	"context"
	"log/slog"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/hickorybank/hickorybank/internal/canary"
	"github.com/hickorybank/hickorybank/internal/gossip"
	"github.com/hickorybank/hickorybank/internal/telemetry"
)

// recordingSource is a table that takes verdicts.
type recordingSource struct {
	Source
	recorded chan canary.Verdict
}

func (s *recordingSource) Record(_ context.Context, _ canary.Order, v canary.Verdict) (canary.Verdict, error) {
	s.recorded <- v
	return v, nil
}

// newSilentPeer listens and answers nobody; called gets each connection.
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

// A good version is not completed in time, although its node had decided so
// before: the node told its peers first, some of which were cut off, and wrote
// the verdict into the table when their time-outs were over, after the limit.
func TestVerdictIsRecordedBeforePeersAreTold(t *testing.T) {
	is := is.New(t)
	addr, called := newSilentPeer(t)
	source := &recordingSource{recorded: make(chan canary.Verdict, 1)}
	n := New(Settings{ID: "n1", ExposeShare: 0.15, ExposeSlack: 30}, Deps{
		Source: source, Log: slog.New(slog.DiscardHandler), Metrics: telemetry.New(telemetry.Bounds{}),
	})
	n.roster.Merge([]gossip.Member{{ID: "n2", Born: 1, Peer: addr, Ready: true, Beat: 1}}, time.Now())
	order := canary.Order{Service: "engine", Target: "v2", Limit: time.Minute, Revision: 1}
	is.True(n.canary.Take(order, time.Now()))
	n.follow(t.Context(), canary.Decision{Order: order, Verdict: canary.Completed, Made: true}, map[string]time.Time{})
	is.Equal(<-source.recorded, canary.Completed)
	select {
	case <-called:
		t.Fatal("a peer was told before the verdict was recorded")
	default:
	}
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		n.tellRollouts(ctx)
	}()
	_ = (<-called).Close() // and then it is told
	cancel()
	<-done
}
