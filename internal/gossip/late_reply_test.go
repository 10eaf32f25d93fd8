package gossip

import (
	"net"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/hickorybank/hickorybank/internal/network"
)

// lateEcho answers exchanges about when their callers give up.
type lateEcho struct{ echo }

func (lateEcho) Exchange(in Message) Message {
	time.Sleep(callTimeout - time.Duration(in.ConfigVersion)*time.Millisecond/10)
	return in
}

// Fails, under the race detector, if a reply that arrives at its call's timeout is decoded into a
// variable that the caller uses: the decoder then panics, and the process ends.
func TestReplyAtTheTimeoutIsNotShared(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	is.NoErr(err)
	s, err := NewServer(l, lateEcho{})
	is.NoErr(err)
	var served, calls sync.WaitGroup
	served.Go(s.Serve)
	for early := range 150 {
		calls.Go(func() {
			c := NewClient(&network.OS{})
			defer c.Close()
			in := Message{From: "a", ConfigVersion: int64(early), Members: make([]Member, 300)}
			if out, err := c.Exchange(l.Addr().String(), in); err == nil && len(out.Members) != len(in.Members) {
				t.Error("a reply is incomplete")
			}
		})
	}
	calls.Wait()
	s.Close()
	served.Wait()
}
