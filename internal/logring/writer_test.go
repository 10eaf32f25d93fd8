package logring

import (
	"bytes"
	"log/slog"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"go.uber.org/goleak"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// Nobody reads the log: its reader hangs. Requests go on, lines are dropped,
// and what was kept comes out when the reader goes on.
func TestFullLogBlocksNobody(t *testing.T) {
	is := is.New(t)
	to := &gate{open: make(chan struct{})}
	w := New(to)
	for range 3 * ringLines {
		n, err := w.Write([]byte("line\n"))
		is.NoErr(err)
		is.Equal(n, 5)
	}
	is.True(w.Dropped() > 0)
	close(to.open)
	w.Close()
	is.Equal(int64(strings.Count(to.text(), "line\n"))+w.Dropped(), int64(3*ringLines))
}

type gate struct {
	open chan struct{}
	mu   sync.Mutex
	buf  bytes.Buffer
}

func (g *gate) Write(p []byte) (int, error) {
	<-g.open
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.buf.Write(p)
}

func (g *gate) text() string {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.buf.String()
}

// Under load the usual lines are bounded; a failure's line always comes.
func TestUsualLinesGiveWayToFailures(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var out bytes.Buffer
		limit := NewLimit(slog.NewTextHandler(&out, nil))
		log := slog.New(limit).With("node", "n1").WithGroup("g")
		for range 5 * burst {
			log.Info("usual")
		}
		log.Warn("failure")
		is.Equal(strings.Count(out.String(), "usual"), burst)
		is.Equal(strings.Count(out.String(), "failure"), 1)
		is.Equal(limit.Missed(), int64(4*burst))
		time.Sleep(time.Second)
		for range burst {
			log.Info("later")
		}
		is.Equal(strings.Count(out.String(), "later"), perSecond)
	})
}
