package gateway

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/hickorybank/hickorybank/internal/gossip"
)

// Regression: proofs stayed fresh by travelling between nodes. Proofs carry the age of
// the reading without the transfer time, so each exchange made them a little younger.
// While the table refused a third of the nodes, the reader among them, no other node read
// in its place, and most nodes accepted withdrawn keys for nine seconds.
func TestProofAgesWhilePeersExchangeIt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		a, b := newGroupNode(false), newGroupNode(true)
		b.mu.Lock()
		b.view.listRevision = 7
		b.advanceList(time.Now(), 1000)
		b.mu.Unlock()
		const latency = 5 * time.Millisecond
		began := time.Now()
		for time.Since(began) < 10*time.Second {
			for _, way := range [][2]*Node{{b, a}, {a, b}} {
				message := way[0].newMessage(gossip.Member{ID: way[1].settings.ID})
				time.Sleep(latency)
				way[1].receive(message)
			}
		}
		for _, n := range []*Node{a, b} {
			n.mu.Lock()
			is.True(time.Since(n.view.listAsOf) >= 10*time.Second-latency)
			n.mu.Unlock()
		}
	})
}
