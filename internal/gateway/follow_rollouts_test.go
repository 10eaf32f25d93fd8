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

// awaySource is a table that takes verdicts only when it is back.
type awaySource struct {
	Source
	back  bool
	tries int
}

func (s *awaySource) Record(_ context.Context, _ canary.Order, v canary.Verdict) (canary.Verdict, error) {
	s.tries++
	if !s.back {
		return canary.Open, errors.New("the table is away")
	}
	return v, nil
}

// The table is away when a version's end is decided. Every node that had its turn tried
// to write it each second, hundreds of calls for what nobody could record. Each tries
// once; then the verdict waits until somebody has read the table again.
func TestVerdictWaitsForATableThatIsAway(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		source := &awaySource{}
		n := New(Settings{ID: "n1", Drain: 3 * time.Second, Apply: 3 * time.Second}, Deps{
			Source: source, Log: slog.New(slog.DiscardHandler), Metrics: telemetry.New(telemetry.Bounds{}),
		})
		order := canary.Order{Service: "engine", Target: "v2", Limit: time.Minute, Revision: 1}
		n.canary.Take(order, time.Now())
		next := map[string]time.Time{}
		follow := func(made bool) {
			n.follow(t.Context(), canary.Decision{Order: order, Verdict: canary.Completed, Made: made}, next)
			time.Sleep(tickEvery)
		}
		n.list.provenAt = time.Now()
		time.Sleep(time.Second)
		n.list.awayAt = time.Now()
		follow(true)
		is.Equal(source.tries, 1) // it may be this node's own call that failed
		for range 40 {
			follow(false)
		}
		is.Equal(source.tries, 1)
		source.back = true
		n.list.provenAt = time.Now()
		follow(false)
		is.Equal(source.tries, 2)
		is.Equal(n.announced["engine"], uint64(1)) // it is recorded
	})
}
