package host

import (
	"context"
	"errors"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"

	"github.com/matryer/is"
	"github.com/sourcegraph/conc"
	"go.uber.org/goleak"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

func start(t *testing.T, h http.HandlerFunc) *Host {
	t.Helper()
	host := New("u1", slog.New(slog.DiscardHandler))
	if err := host.Start("127.0.0.1:0", h, "", nil); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		if err := host.Close(context.Background()); err != nil {
			t.Error(err)
		}
	})
	return host
}

// Another process binds the port of a stand-in that is down. The stand-in could then
// not listen again, or the other process would answer in its place.
func TestPortStaysReservedWhileDown(t *testing.T) {
	is := is.New(t)
	h := start(t, func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "mine") })
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	for range 20 {
		h.Down()
		_, err := client.Get("http://" + h.Addr())
		is.True(errors.Is(err, syscall.ECONNREFUSED))
		listeners := listenMany(t, 50)
		for _, l := range listeners {
			is.True(l.Addr().String() != h.Addr())
			is.NoErr(l.Close())
		}
		is.NoErr(h.Up())
		res, err := client.Get("http://" + h.Addr())
		is.NoErr(err)
		body, err := io.ReadAll(res.Body)
		is.NoErr(err)
		is.NoErr(res.Body.Close())
		is.Equal(string(body), "mine")
	}
}

func listenMany(t *testing.T, n int) []net.Listener {
	t.Helper()
	var out []net.Listener
	for range n {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		out = append(out, l)
	}
	return out
}

// A caller gives up on a frozen upstream and retries elsewhere; the upstream resumes
// and runs the request as well. The stand-in must reproduce this.
func TestFrozenRequestRunsAfterThaw(t *testing.T) {
	is := is.New(t)
	var runs atomic.Int32
	ran := make(chan struct{}, 1)
	h := start(t, func(_ http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		runs.Add(1)
		ran <- struct{}{}
	})
	h.Freeze()
	c, err := net.Dial("tcp", h.Addr())
	is.NoErr(err)
	_, err = io.WriteString(c, "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 4\r\n\r\nbody")
	is.NoErr(err)
	is.NoErr(c.Close())
	is.Equal(runs.Load(), int32(0))
	h.Thaw()
	<-ran
	is.Equal(runs.Load(), int32(1))
}

// Close must not block on a port that is down or on a frozen request.
func TestCloseWhileDownAndFrozen(t *testing.T) {
	is := is.New(t)
	h := start(t, func(http.ResponseWriter, *http.Request) {})
	h.Freeze()
	var wg conc.WaitGroup
	wg.Go(func() {
		res, err := http.Post("http://"+h.Addr(), "text/plain", strings.NewReader("x"))
		if err == nil {
			_ = res.Body.Close()
		}
	})
	h.Down()
	wg.Wait()
	http.DefaultClient.CloseIdleConnections()
	is.True(h.port.isCurrent(nil))
}
