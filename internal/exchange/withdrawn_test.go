package exchange

import (
	"context"
	"net"
	"testing"

	"github.com/matryer/is"
)

// An upstream may announce, while the connection is being opened, that it accepts no new
// requests. The request must not be sent to it then.
func TestWithdrawnRequestIsNotSent(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	is.NoErr(err)
	got := make(chan int, 1)
	go func() {
		c, err := l.Accept()
		if err != nil {
			got <- -1
			return
		}
		n, _ := c.Read(make([]byte, 1)) // ends when the pool closes it
		got <- n
	}()
	p := NewPool(Settings{})
	_, failure := p.Do(context.Background(), l.Addr().String(), &Request{Method: "GET", Target: "/", ShouldSend: func() bool { return false }})
	is.True(failure != nil)
	is.Equal(failure.Reason, Withdrawn)
	is.True(!failure.Sent)
	p.Close()
	is.Equal(<-got, 0)
	is.NoErr(l.Close())
}
