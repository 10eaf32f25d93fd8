package gateway

import (
	"context"
	"errors"
	"log/slog"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/hickorybank/hickorybank/internal/archive"
	"github.com/hickorybank/hickorybank/internal/gossip"
	"github.com/hickorybank/hickorybank/internal/route"
	"github.com/hickorybank/hickorybank/internal/sim"
	"github.com/hickorybank/hickorybank/internal/telemetry"
	"github.com/hickorybank/hickorybank/internal/transfer"
)

// newerPeer is a peer that has a newer configuration; asked counts the pieces that were
// asked of it.
type newerPeer struct {
	gossip.Exchanger
	sender *transfer.Sender
	asked  atomic.Int64
}

func (p *newerPeer) Piece(in transfer.Ask) transfer.Piece {
	p.asked.Add(1)
	return p.sender.Answer(in, time.Now())
}

// newerWorld asks a configuration of 100 kB from a peer for a time, as news of its
// version come every 0.6 s; it returns the pieces that were asked for.
func newerWorld(t *testing.T, source Source, d time.Duration) (*Node, int64) {
	const peerAddr = "10.0.0.2:80"
	net := sim.New(time.Millisecond, 1)
	l, err := net.Host("10.0.0.2", 0).Listen(peerAddr)
	if err != nil {
		t.Fatal(err)
	}
	peer := &newerPeer{sender: transfer.NewSender(0)}
	peer.sender.Set(archive.New(1, []byte(`{"version":1}`), nil))
	server, err := gossip.NewServer(l, peer)
	if err != nil {
		t.Fatal(err)
	}
	go server.Serve()
	n := New(Settings{ID: "n9"}, Deps{
		Source: source, Network: net.Host("10.0.0.1", 0),
		Log: slog.New(slog.DiscardHandler), Metrics: telemetry.New(telemetry.Bounds{}),
	})
	n.roster.Merge([]gossip.Member{{ID: "n0", Born: 1, Peer: peerAddr, Ready: true, Beat: 1}}, time.Now())
	ctx, cancel := context.WithTimeout(context.Background(), d)
	defer cancel()
	done := make(chan struct{})
	go func() {
		n.followConfig(ctx)
		close(done)
	}()
	for pause(ctx, gossipEvery) {
		n.take(gossip.Message{From: "n0", ConfigVersion: 1, Proof: gossip.Proof{Age: noProof, OrdersAge: noProof}})
	}
	<-done
	n.contents.Close()
	server.Close()
	time.Sleep(time.Second) // until the ends of connections have arrived
	return n, peer.asked.Load()
}

// unreadable refuses every configuration.
type unreadable struct{ Source }

func (unreadable) Decode([]byte, *route.Table) (*route.Table, error) {
	return nil, errors.New("a kind that is not known here")
}

// Nodes of a newer release are told of a kind of route that this one does not know. It
// refuses their configuration, as it should, and took it again from the next peer every
// half second: a large one fills its link for as long as the upgrade lasts. It asks
// again after a while.
func TestRefusedConfigurationIsLeftAlone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		n, asked := newerWorld(t, unreadable{}, 20*time.Second)
		is.Equal(n.configVersion(), int64(0))
		is.True(asked >= 2)  // it is tried again
		is.True(asked <= 10) // but not all the time
	})
}

func TestNewerConfigurationIsTakenFromAPeer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		n, asked := newerWorld(t, oneRoute{}, 2*time.Second)
		is.Equal(n.configVersion(), int64(1))
		is.Equal(asked, int64(2)) // a piece, and that it has come
	})
}
