package gateway

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"runtime/debug"
	"sync/atomic"
	"time"

	"github.com/julienschmidt/httprouter"
	"github.com/rotisserie/eris"
	"github.com/sourcegraph/conc"

	"github.com/hickorybank/hickorybank/internal/event"
	"github.com/hickorybank/hickorybank/internal/gossip"
)

// Run serves until ctx ends, then stops gracefully. directory answers callers
// that ask where to connect, and ready the platform's question.
func (n *Node) Run(ctx context.Context, directory, ready http.Handler) error {
	if n.settings.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(memoryPart * float64(n.settings.MemoryMB) * (1 << 20)))
	}
	front, err := n.listen(n.settings.Front)
	if err != nil {
		return err
	}
	peer, err := n.listen(n.settings.Peer)
	if err != nil {
		return err
	}
	peers, err := gossip.NewServer(peer, n)
	if err != nil {
		return eris.Wrap(err, "peers")
	}
	conns := &connections{node: n}
	servers := []*http.Server{conns.server(http.HandlerFunc(n.ServeHTTP))}
	listeners := []net.Listener{&idleListener{front, n.idleLimit}}
	for _, extra := range []struct {
		addr    string
		handler http.Handler
	}{{n.settings.Directory, directory}, {n.settings.Ready, ready}, {n.settings.Metrics, n.metricsRouter()}} {
		if extra.addr == "" {
			continue
		}
		l, err := n.listen(extra.addr)
		if err != nil {
			return err
		}
		servers = append(servers, &http.Server{Handler: extra.handler, ReadHeaderTimeout: sideHeaderTimeout, IdleTimeout: sideIdleTimeout, ErrorLog: discardLog})
		listeners = append(listeners, l)
	}
	work, stopWork := context.WithCancel(context.Background())
	defer stopWork()
	var duties conc.WaitGroup
	for i := range servers {
		duties.Go(func() { _ = servers[i].Serve(listeners[i]) }) // ends when it is closed
	}
	duties.Go(peers.Serve)
	duties.Go(func() { n.followTable(work) })
	duties.Go(func() { n.followRollouts(work) })
	duties.Go(func() { n.followSnapshots(work) })
	duties.Go(func() { n.tellRollouts(work) })
	duties.Go(func() { n.followPeers(work) })
	duties.Go(func() { n.followFlights(work) })
	duties.Go(func() { n.followConfig(work) })
	duties.Go(func() { n.sweep(work) })
	event.ForwardStarted.Log(n.log, slog.String("node", n.settings.ID), slog.String("addr", n.settings.Front), slog.String("peer", n.settings.Peer), slog.Int64("born", n.born))
	<-ctx.Done()
	n.stop(work, servers[0], conns)
	stopWork()
	for _, s := range servers {
		_ = s.Close() // what could be finished has been
	}
	peers.Close()
	n.peers.Close()
	n.contents.Close()
	n.pool.Close()
	duties.Wait()
	event.ForwardStopped.Log(n.log, slog.String("node", n.settings.ID))
	return nil
}

const (
	// sideHeaderTimeout and sideIdleTimeout bound callers of the directory,
	// readiness and metrics, who ask every second or so.
	sideHeaderTimeout = 5 * time.Second
	sideIdleTimeout   = 30 * time.Second
)

func (n *Node) listen(addr string) (net.Listener, error) {
	l, err := n.network.Listen(addr)
	if err != nil {
		return nil, eris.Wrap(err, "listen")
	}
	return l, nil
}

func (n *Node) metricsRouter() http.Handler {
	r := httprouter.New()
	r.Handler(http.MethodGet, "/metrics", n.metrics.Handler())
	return r
}

func (n *Node) sweep(ctx context.Context) {
	told := int64(0)
	for pause(ctx, sweepEvery) {
		if dropped := n.dropped(); dropped > told {
			event.LogLinesDropped.Log(n.log, slog.Int64("lines", dropped-told))
			told = dropped
		}
		n.pool.Sweep(time.Now())
		n.sweepNotices()
	}
}

// stop lets callers move away, and the work that is under way end.
//
// Callers go on with an old answer of the directory for a while. A node that
// closed at once would break their requests; so it first serves them as
// before, and says on each answer that the connection ends. After the
// directory's time to live it takes no new connections and closes idle ones:
// a request that came later could not end within the grace. It goes when no
// work is left or its grace is over.
func (n *Node) stop(ctx context.Context, front *http.Server, conns *connections) {
	began := time.Now()
	n.stopping.Store(true)
	n.mu.Lock()
	n.roster.SetSelf(false, true)
	n.mu.Unlock()
	event.ForwardStopping.Log(n.log, slog.Int64("active", n.active.Load()), slog.Int64("connections", conns.open.Load()))
	n.exchangeAll(ctx)
	closeAt := min(n.settings.AddressTTL+stopMargin, n.settings.Grace/3)
	for time.Since(began) < closeAt && (time.Since(began) < n.settings.AddressTTL || conns.open.Load() > 0) {
		if !pause(ctx, waitStep) {
			return
		}
	}
	over, cancel := context.WithTimeout(ctx, n.settings.Grace-stopQuiet-time.Since(began))
	defer cancel()
	if err := front.Shutdown(over); err != nil {
		event.ForwardCut.Log(n.log, slog.Int64("active", n.active.Load()), slog.String("err", err.Error()))
	}
}

// connections counts callers' connections and bounds their idle time.
type connections struct {
	node *Node
	open atomic.Int64
}

func (c *connections) server(h http.Handler) *http.Server {
	return &http.Server{
		Handler:           h,
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleMark,
		MaxHeaderBytes:    maxHeaderBytes,
		ErrorLog:          discardLog,
		ConnState: func(_ net.Conn, s http.ConnState) {
			switch s {
			case http.StateNew:
				c.open.Add(1)
			case http.StateClosed, http.StateHijacked:
				c.open.Add(-1)
			}
		},
	}
}

const (
	// headerTimeout bounds the reading of a request's head; callers stay well
	// within it.
	headerTimeout = 10 * time.Second
	// idleMark stands for the configuration's idle time in the server; it is
	// longer than any deadline of a request.
	idleMark = 1000 * time.Hour
	// defaultIdle is the idle time where the configuration gives none.
	defaultIdle = 60 * time.Second
	// maxHeaderBytes bounds a request's head.
	maxHeaderBytes = 64 << 10
)
