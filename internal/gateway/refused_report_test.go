package gateway

import (
	"context"
	"net"
	"os"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/hickorybank/hickorybank/internal/gossip"
	"github.com/hickorybank/hickorybank/internal/network"
)

// failingNetwork fails each dial with one error.
type failingNetwork struct {
	network.Network
	err error
}

func (f *failingNetwork) Dial(context.Context, string) (net.Conn, error) { return nil, f.err }

// Fails if members learn from gossip alone, seconds later, that their reader's process is gone, or
// if a leader that only answers slowly counts as lost.
func TestReaderThatRefusesReportsIsLost(t *testing.T) {
	for _, c := range []struct {
		name  string
		err   error
		alive bool
	}{{"refused", syscall.ECONNREFUSED, false}, {"timed out", os.ErrDeadlineExceeded, true}} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			n := newGroupNode(false)
			n.gossipClient = gossip.NewClient(&failingNetwork{err: c.err})
			role := n.roster.FlightRole()
			for range 2 {
				is.True(!n.reportFlights(role, time.Second, false))
			}
			_, alive := n.roster.Get(role.To.ID)
			is.Equal(alive, c.alive)
		})
	}
}
