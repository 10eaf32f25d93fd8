package scenario

import (
	"net"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Fails if a node gets around a cut: with the address of a third node in a list
// that it got from a peer, it went on to reach the node from which it was cut off.
func TestCutHoldsForAddressesFromPeers(t *testing.T) {
	is := is.New(t)
	n := newNetwork()
	defer n.close()
	target, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer target.Close()
	go echo(target)
	n.addSource("127.1.0.2", "e2")
	n.addSource("127.1.0.3", "e3")
	addr := target.Addr().String()
	is.NoErr(reroute(n, "e1", &addr)) // e1's address as any node knows it

	n.gate("e3", "e1").cut()
	is.NoErr(ping("127.1.0.2", addr, time.Minute))
	is.True(ping("127.1.0.3", addr, 100*time.Millisecond) != nil) // e3 is cut off from e1
	n.gate("e3", "e1").heal()
	is.NoErr(ping("127.1.0.3", addr, time.Minute))
}

// echo sends back the first byte of each connection.
func echo(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		one := make([]byte, 1)
		if _, err := c.Read(one); err == nil {
			_, _ = c.Write(one)
		}
		_ = c.Close()
	}
}

// ping connects from an IP and waits for its byte to come back.
func ping(from, addr string, limit time.Duration) error {
	dialer := net.Dialer{LocalAddr: &net.TCPAddr{IP: net.ParseIP(from)}}
	c, err := dialer.Dial("tcp", addr)
	if err != nil {
		return err
	}
	defer c.Close()
	if err := c.SetDeadline(time.Now().Add(limit)); err != nil {
		return err
	}
	if _, err := c.Write([]byte{1}); err != nil {
		return err
	}
	_, err = c.Read(make([]byte, 1))
	return err
}
