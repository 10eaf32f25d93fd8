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

// newerPeer is a peer that has a newer configuration; asked counts the requests for pieces.
type newerPeer struct {
	gossip.Exchanger
	sender *transfer.Sender
	asked  atomic.Int64
}

func (p *newerPeer) Piece(in transfer.Ask) transfer.Piece {
	p.asked.Add(1)
	return p.sender.Answer(in, time.Now())
}

// fetchFromNewerPeer runs followConfig for a time against a peer that has a newer
// configuration, whose version the node receives every 0.6 s. It returns the number of
// pieces requested.
func fetchFromNewerPeer(t *testing.T, source Source, d time.Duration) (*Node, int64) {
	const peerAddr = "10.0.0.2:80"
	net := sim.New(time.Millisecond, 1)
	l, err := net.AddHost("10.0.0.2", 0).Listen(peerAddr)
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
		Source: source, Network: net.AddHost("10.0.0.1", 0),
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
	for pause(ctx, gossipInterval) {
		n.receive(gossip.Message{From: "n0", ConfigVersion: 1, Proof: gossip.Proof{Age: noProof, OrdersAge: noProof}})
	}
	<-done
	n.transferClient.Close()
	server.Close()
	time.Sleep(time.Second) // until closed connections have ended
	return n, peer.asked.Load()
}

// rejectingSource rejects every configuration.
type rejectingSource struct{ Source }

func (rejectingSource) Decode([]byte, *route.Table) (*route.Table, error) {
	return nil, errors.New("unknown kind of route")
}

// Regression: a configuration that an older release can't read, for example one with an
// unknown kind of route, was transferred repeatedly. The node fetched it from another
// peer every half second; a large one fills its link for as long as the upgrade lasts. It
// must try again only after rejectedBackoff.
func TestRejectedConfigurationIsNotFetchedAgainAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		n, asked := fetchFromNewerPeer(t, rejectingSource{}, 20*time.Second)
		is.Equal(n.configVersion(), int64(0))
		is.True(asked >= 2)  // it tries again
		is.True(asked <= 10) // but not in every round
	})
}

func TestNewerConfigurationIsFetchedFromAPeer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		n, asked := fetchFromNewerPeer(t, oneRoute{}, 2*time.Second)
		is.Equal(n.configVersion(), int64(1))
		is.Equal(asked, int64(2)) // one piece, and the report that the transfer is complete
	})
}
