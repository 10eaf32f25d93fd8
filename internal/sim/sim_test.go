package sim

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

const (
	testDelay = time.Millisecond
	tenMbit   = 10e6
)

// connectedPair connects two new hosts and returns both ends and both hosts.
func connectedPair(t *testing.T, fromBits, toBits float64) (a, b net.Conn, from, to *Host) {
	t.Helper()
	is := is.New(t)
	n := New(testDelay, 1)
	from, to = n.AddHost("10.0.0.1", fromBits), n.AddHost("10.0.0.2", toBits)
	l, err := to.Listen("10.0.0.2:80")
	is.NoErr(err)
	a, err = from.Dial(context.Background(), "10.0.0.2:80")
	is.NoErr(err)
	b, err = l.Accept()
	is.NoErr(err)
	is.NoErr(l.Close())
	t.Cleanup(func() {
		_ = a.Close() // the test ends
		_ = b.Close() // the test ends
	})
	return a, b, from, to
}

// transfer sends size bytes from a to b and returns the time until all are read.
func transfer(t *testing.T, a, b net.Conn, size int) time.Duration {
	t.Helper()
	is := is.New(t)
	sent := bytes.Repeat([]byte("0123456789"), size/10)
	began := time.Now()
	_, err := a.Write(sent)
	is.NoErr(err)
	got := make([]byte, len(sent))
	_, err = io.ReadFull(b, got)
	is.NoErr(err)
	is.True(bytes.Equal(got, sent))
	return time.Since(began)
}

// A megabyte takes 0.8 s over 10 Mbit/s, whichever host's link is the slow one.
func TestTransferIsLimitedByEitherLink(t *testing.T) {
	for _, bits := range [][2]float64{{tenMbit, 0}, {0, tenMbit}, {tenMbit, tenMbit}} {
		synctest.Test(t, func(t *testing.T) {
			a, b, _, _ := connectedPair(t, bits[0], bits[1])
			took := transfer(t, a, b, 1_000_000)
			is.New(t).True(took > 800*time.Millisecond && took < 880*time.Millisecond)
		})
	}
}

// Lost segments arrive late, but the stream stays complete and in order.
func TestLossDelaysSegmentsInOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a, b, from, _ := connectedPair(t, tenMbit, 0)
		from.SetLoss(0.2)
		is.New(t).True(transfer(t, a, b, 400_000) > 500*time.Millisecond)
	})
}

// A cut must not drop data: delivery continues once the cut is lifted. Meanwhile Dial
// times out.
func TestCutDelaysDeliveryAndBlocksDial(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		a, b, from, _ := connectedPair(t, 0, 0)
		from.SetCut(Cut{Out: true})
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		_, err := from.Dial(ctx, "10.0.0.2:80")
		var ne net.Error
		is.True(err != nil)
		is.True(ctx.Err() != nil)
		ne, _ = err.(net.Error)
		is.True(ne.Timeout())
		time.AfterFunc(3*time.Second, func() { from.SetCut(Cut{}) })
		is.True(transfer(t, a, b, 1000) >= 3*time.Second)
	})
}

// Read fails at its deadline. After the peer has closed, Read returns io.EOF and Write
// fails.
func TestReadDeadlineAndClosedPeer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		a, b, _, _ := connectedPair(t, 0, 0)
		is.NoErr(b.SetReadDeadline(time.Now().Add(time.Second)))
		_, err := b.Read(make([]byte, 1))
		ne, ok := err.(net.Error)
		is.True(ok && ne.Timeout())
		is.NoErr(b.SetReadDeadline(time.Time{}))
		is.NoErr(a.Close())
		_, err = b.Read(make([]byte, 1))
		is.Equal(err, io.EOF)
		time.Sleep(time.Second)
		_, err = b.Write([]byte("x"))
		is.True(err != nil)
	})
}

// Dial fails after one round trip if nothing listens on the port, and fails if no host
// has the IP.
func TestDialWithoutListenerOrHostFails(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		n := New(testDelay, 1)
		a := n.AddHost("10.0.0.1", 0)
		n.AddHost("10.0.0.2", 0)
		began := time.Now()
		_, err := a.Dial(context.Background(), "10.0.0.2:80")
		is.True(err != nil)
		is.Equal(time.Since(began), 2*testDelay)
		_, err = a.Dial(context.Background(), "10.0.0.3:80")
		is.True(err != nil)
	})
}

// Fails if a killed process answers or its connections stay open: its peers would wait for a
// time-out where the kernel resets them.
func TestKilledHostRefusesConnections(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		n := New(time.Millisecond, 1)
		a, b := n.AddHost("10.0.0.1", 0), n.AddHost("10.0.0.2", 0)
		l, err := b.Listen("10.0.0.2:1")
		is.NoErr(err)
		c, err := a.Dial(t.Context(), "10.0.0.2:1")
		is.NoErr(err)
		_, err = l.Accept()
		is.NoErr(err)
		b.Kill()
		_, err = c.Read(make([]byte, 1))
		is.Equal(err, io.EOF)
		_, err = a.Dial(t.Context(), "10.0.0.2:1")
		is.True(errors.Is(err, syscall.ECONNREFUSED))
		_, err = b.Dial(t.Context(), "10.0.0.1:1")
		is.True(errors.Is(err, syscall.EHOSTUNREACH))
		_, err = n.AddHost("10.0.0.2", 0).Listen("10.0.0.2:1")
		is.NoErr(err) // the successor has the address
	})
}
