package logring

import (
	"bytes"
	"log/slog"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"go.uber.org/goleak"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// When the log's reader hangs, requests do not block on logging. Lines beyond the queue
// are dropped; the queued ones are written once the reader continues.
func TestFullQueueDropsLinesWithoutBlocking(t *testing.T) {
	is := is.New(t)
	dest := &blockedWriter{released: make(chan struct{})}
	w := New(dest)
	for range 3 * queueLines {
		n, err := w.Write([]byte("line\n"))
		is.NoErr(err)
		is.Equal(n, 5)
	}
	is.True(w.Dropped() > 0)
	close(dest.released)
	w.Close()
	is.Equal(int64(strings.Count(dest.text(), "line\n"))+w.Dropped(), int64(3*queueLines))
}

// Regression: a line after Close ended the process with a panic, as late goroutines still log.
func TestLinesAfterCloseAreDropped(t *testing.T) {
	is := is.New(t)
	var dest bytes.Buffer
	w := New(&dest)
	var writers sync.WaitGroup
	for range 4 {
		writers.Go(func() {
			for range 500 {
				_, _ = w.Write([]byte("line\n")) // never fails
			}
		})
	}
	w.Close()
	writers.Wait()
	n, err := w.Write([]byte("line\n"))
	is.NoErr(err)
	is.Equal(n, 5)
	w.Close()                                                                        // has no further effect
	is.Equal(int64(strings.Count(dest.String(), "line\n"))+w.Dropped(), int64(2001)) // written or counted
}

// blockedWriter blocks each write until released is closed.
type blockedWriter struct {
	released chan struct{}
	mu       sync.Mutex
	buf      bytes.Buffer
}

func (g *blockedWriter) Write(p []byte) (int, error) {
	<-g.released
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.buf.Write(p)
}

func (g *blockedWriter) text() string {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.buf.String()
}

// Without the rate limit, a flood of informational lines displaces the lines on failures.
func TestOnlyLinesBelowWarningAreRateLimited(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var out bytes.Buffer
		limit := NewRateLimitHandler(slog.NewTextHandler(&out, nil))
		log := slog.New(limit).With("node", "n1").WithGroup("g")
		for range 5 * infoLineBurst {
			log.Info("usual")
		}
		log.Warn("failure")
		is.Equal(strings.Count(out.String(), "usual"), infoLineBurst)
		is.Equal(strings.Count(out.String(), "failure"), 1)
		is.Equal(limit.Dropped(), int64(4*infoLineBurst))
		time.Sleep(time.Second)
		for range infoLineBurst {
			log.Info("later")
		}
		is.Equal(strings.Count(out.String(), "later"), infoLinesPerSecond)
	})
}

// Fails if a flood of lines hides that another route is refused.
func TestOneLineOfEachKindPassesInAFlood(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var out bytes.Buffer
		limit := NewRateLimitHandler(slog.NewTextHandler(&out, nil))
		log := slog.New(limit)
		refuse := func(route, request string) {
			log.Info("refused", "event", 1911, "route", route, "status", 404, "reason", "unknown_route", "request", request)
		}
		for range 3 {
			for range 2 * infoLineBurst {
				refuse("busy", "usual")
			}
			refuse("quiet", "first")
			refuse("quiet", "second")
			for i := range 2 * maxFloorKinds {
				refuse(strconv.Itoa(i), "many")
			}
			time.Sleep(floorInterval)
		}
		is.Equal(strings.Count(out.String(), "first"), 3)
		is.Equal(strings.Count(out.String(), "second"), 0)
		is.Equal(strings.Count(out.String(), "many"), 3*(maxFloorKinds-2)) // bounded beside any number of routes
		is.Equal(limit.Dropped()+int64(strings.Count(out.String(), "refused")), int64(3*(2*infoLineBurst+2+2*maxFloorKinds)))
	})
}
