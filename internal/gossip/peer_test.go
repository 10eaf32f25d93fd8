package gossip

import (
	"net"
	"sync"
	"testing"

	"github.com/matryer/is"
	"go.uber.org/goleak"

	"github.com/hickorybank/hickorybank/internal/crashguard"
	"github.com/hickorybank/hickorybank/internal/network"
	"github.com/hickorybank/hickorybank/internal/transfer"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

type echo struct{}

func (echo) Exchange(in Message) Message {
	in.From = "echo of " + in.From
	return in
}

func (echo) Flights(in FlightReport) FlightReport { return in }

func (echo) Piece(in transfer.Ask) transfer.Piece { return transfer.Piece{To: in.Known + 1} }

func (echo) Crashes(in crashguard.Report) crashguard.Report       { return in }
func (echo) RecordCrashes(in crashguard.Report) crashguard.Report { return in }
func (echo) GrantTrial(crashguard.TrialRequest) bool              { return false }

// A peer responds, its connection breaks, and it is called again over a new one.
func TestExchangeAfterConnectionBreaks(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	is.NoErr(err)
	s, err := NewServer(l, echo{})
	is.NoErr(err)
	served := make(chan struct{})
	go func() {
		s.Serve()
		close(served)
	}()
	c := NewClient(&network.OS{})
	in := Message{From: "a", ConfigVersion: 7}
	out, err := c.Exchange(l.Addr().String(), in)
	is.NoErr(err)
	is.Equal(out.From, "echo of a")
	is.Equal(out.ConfigVersion, int64(7))
	s.mu.Lock()
	for conn := range s.conns {
		_ = conn.Close() // breaks the connection
	}
	s.mu.Unlock()
	for tries := 0; ; tries++ {
		if out, err = c.Exchange(l.Addr().String(), in); err == nil {
			break
		}
		is.True(tries < 3)
	}
	s.Close()
	<-served
	_, err = c.Exchange(l.Addr().String(), in)
	is.True(err != nil)
	c.Close()
}

// A peer accepts the connection and never responds: the call must time out.
func TestCallToSilentPeerTimesOut(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	is.NoErr(err)
	defer func() { _ = l.Close() }() // the test ends
	c := NewClient(&network.OS{})
	defer c.Close()
	_, err = c.Exchange(l.Addr().String(), Message{})
	is.Equal(err, errTimeout)
}

// barrierExchanger responds to an exchange only once the wanted number of exchanges is running.
type barrierExchanger struct {
	echo
	wanted *sync.WaitGroup
}

func (t barrierExchanger) Exchange(in Message) Message {
	t.wanted.Done()
	t.wanted.Wait()
	return t.echo.Exchange(in)
}

// Concurrent first calls to a peer must share one connection. If both open one and
// replace each other's, closing the other's fails its call, and two failures in a row
// mark a live peer dead.
func TestConcurrentFirstCallsShareConnection(t *testing.T) {
	is := is.New(t)
	for range 20 {
		l, err := net.Listen("tcp4", "127.0.0.1:0")
		is.NoErr(err)
		var both sync.WaitGroup
		both.Add(2)
		s, err := NewServer(l, barrierExchanger{wanted: &both})
		is.NoErr(err)
		go s.Serve()
		c := NewClient(&network.OS{})
		var calls sync.WaitGroup
		errs := make([]error, 2)
		for i := range errs {
			calls.Go(func() { _, errs[i] = c.Exchange(l.Addr().String(), Message{}) })
		}
		calls.Wait()
		is.NoErr(errs[0])
		is.NoErr(errs[1])
		c.Close()
		s.Close()
	}
}
