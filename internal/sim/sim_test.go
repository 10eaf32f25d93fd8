package sim

import (
	"bytes"
	"context"
	"io"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

const (
	testDelay = time.Millisecond
	tenMbit   = 10e6
)

// pair connects two hosts; it returns the ends and the hosts.
func pair(t *testing.T, fromBits, toBits float64) (a, b net.Conn, from, to *Host) {
	t.Helper()
	is := is.New(t)
	n := New(testDelay, 1)
	from, to = n.Host("10.0.0.1", fromBits), n.Host("10.0.0.2", toBits)
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

// transfer sends bytes and returns how long they took.
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

// A megabyte takes 0.8 s over 10 Mbit/s, whichever end is the narrow one.
func TestBandwidthOfBothEnds(t *testing.T) {
	for _, bits := range [][2]float64{{tenMbit, 0}, {0, tenMbit}, {tenMbit, tenMbit}} {
		synctest.Test(t, func(t *testing.T) {
			a, b, _, _ := pair(t, bits[0], bits[1])
			took := transfer(t, a, b, 1_000_000)
			is.New(t).True(took > 800*time.Millisecond && took < 880*time.Millisecond)
		})
	}
}

// Segments that are lost come late; what they carry is whole and in order.
func TestLossKeepsTheOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a, b, from, _ := pair(t, tenMbit, 0)
		from.Lose(0.2)
		is.New(t).True(transfer(t, a, b, 400_000) > 500*time.Millisecond)
	})
}

// A link that passes nothing out loses nothing either: it goes on when healed. New
// connections aren't opened meanwhile.
func TestCutHoldsUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		a, b, from, _ := pair(t, 0, 0)
		from.Cut(Cut{Out: true})
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		_, err := from.Dial(ctx, "10.0.0.2:80")
		var ne net.Error
		is.True(err != nil)
		is.True(ctx.Err() != nil)
		ne, _ = err.(net.Error)
		is.True(ne.Timeout())
		time.AfterFunc(3*time.Second, func() { from.Cut(Cut{}) })
		is.True(transfer(t, a, b, 1000) >= 3*time.Second)
	})
}

// A reader's deadline ends its wait; a closed end reads as the end of the stream,
// and writing to it fails.
func TestDeadlineAndEnd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		a, b, _, _ := pair(t, 0, 0)
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

// Nobody listens: the connection is refused at once.
func TestRefusedConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		n := New(testDelay, 1)
		a := n.Host("10.0.0.1", 0)
		n.Host("10.0.0.2", 0)
		began := time.Now()
		_, err := a.Dial(context.Background(), "10.0.0.2:80")
		is.True(err != nil)
		is.Equal(time.Since(began), 2*testDelay)
		_, err = a.Dial(context.Background(), "10.0.0.3:80")
		is.True(err != nil)
	})
}
