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
	"github.com/hickorybank/hickorybank/internal/explain"
	"github.com/hickorybank/hickorybank/internal/gossip"
	"github.com/hickorybank/hickorybank/internal/intake"
	"github.com/hickorybank/hickorybank/internal/relay"
	"github.com/hickorybank/hickorybank/internal/unframed"
)

// Run serves until ctx ends, then stops gracefully within the settings' Grace. directory
// answers callers that ask where to connect, ready answers the platform's readiness checks.
// The error names a listen address that could not be opened.
func (n *Node) Run(ctx context.Context, directory, ready http.Handler) error {
	if n.settings.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(memoryFraction * float64(n.settings.MemoryMB) * (1 << 20)))
	}
	bounds := intake.NewConnectionBounds(n.settings.MemoryMB, n.settings.MaxFDs)
	front, err := n.listenTo(frontListener, n.settings.Front, bounds.Callers)
	if err != nil {
		return err
	}
	peer, err := n.listen(n.settings.Peer)
	if err != nil {
		return err
	}
	bounded := intake.NewListener(peer, intake.Settings{Name: peerListener, MaxConnections: bounds.Peers, Observer: n.intakeRecorder})
	messages := intake.NewMessageAccount(n.settings.MemoryMB)
	peers, err := gossip.NewServer(intake.NewGobListener(relay.Split(bounded, n.links.carrier), peerListener, messages, n.intakeRecorder), n)
	if err != nil {
		return eris.Wrapf(err, "gossip server on %s", n.settings.Peer)
	}
	conns := &connections{node: n}
	servers := []*http.Server{conns.server(http.HandlerFunc(n.ServeHTTP))}
	listeners := []net.Listener{&idleListener{front, n.idleLimit}}
	for _, extra := range []struct {
		name, addr string
		handler    http.Handler
	}{
		{directoryListener, n.settings.Directory, directory}, {readyListener, n.settings.Ready, ready},
		{metricsListener, n.settings.Metrics, n.metricsRouter()},
	} {
		if extra.addr == "" {
			continue
		}
		l, err := n.listenTo(extra.name, extra.addr, bounds.Side)
		if err != nil {
			return err
		}
		servers = append(servers, &http.Server{Handler: intake.Handler(extra.handler), ConnContext: intake.ConnContext, ReadHeaderTimeout: sideHeaderTimeout, IdleTimeout: sideIdleTimeout, MaxHeaderBytes: maxHeaderBytes, ErrorLog: discardLog})
		listeners = append(listeners, l)
	}
	loopCtx, stopLoops := context.WithCancel(context.Background())
	defer stopLoops()
	var loops conc.WaitGroup
	for i := range servers {
		loops.Go(func() { _ = servers[i].Serve(listeners[i]) }) // returns when the server is closed
	}
	loops.Go(peers.Serve)
	loops.Go(func() { n.followTable(loopCtx) })
	loops.Go(func() { n.followRollouts(loopCtx) })
	loops.Go(func() { n.followSnapshots(loopCtx) })
	loops.Go(func() { n.pushRollouts(loopCtx) })
	loops.Go(func() { n.followPeers(loopCtx) })
	loops.Go(func() { n.followFlights(loopCtx) })
	loops.Go(func() { n.followCrashes(loopCtx) })
	loops.Go(func() { n.followCrashRecord(loopCtx) })
	loops.Go(func() { n.followLeftAttempts(loopCtx) })
	loops.Go(func() { n.followConfig(loopCtx) })
	loops.Go(func() { n.followList(loopCtx) })
	loops.Go(func() { n.sweep(loopCtx) })
	event.ForwardStarted.Log(n.log, slog.String("node", n.settings.ID), slog.String("addr", n.settings.Front), slog.String("peer", n.settings.Peer), slog.Int64("born", n.incarnation))
	<-ctx.Done()
	n.stop(loopCtx, servers[0], conns)
	stopLoops()
	for _, s := range servers {
		_ = s.Close() // what could finish has finished
	}
	peers.Close()
	n.gossipClient.Close()
	n.transferClient.Close()
	n.pool.Close()
	loops.Wait()
	event.ForwardStopped.Log(n.log, slog.String("node", n.settings.ID))
	return nil
}

const (
	// sideHeaderTimeout and sideIdleTimeout bound connections to the directory, readiness
	// and metrics servers, whose clients call about once a second.
	sideHeaderTimeout = 5 * time.Second
	sideIdleTimeout   = 30 * time.Second
)

func (n *Node) listen(addr string) (net.Listener, error) {
	l, err := n.network.Listen(addr)
	if err != nil {
		return nil, eris.Wrapf(err, "listen on %s", addr)
	}
	return l, nil
}

func (n *Node) metricsRouter() http.Handler {
	r := httprouter.New()
	r.Handler(http.MethodGet, "/metrics", n.metrics.Handler())
	r.Handler(http.MethodGet, explain.Path, newExplainHandler(n))
	r.GET(CrashesPath, n.listHeldKeys)
	r.DELETE(CrashesPath+"/:key", n.pardonKey)
	return r
}

// sweep reports dropped log lines, closes idle connections and removes old notices, at
// intervals.
func (n *Node) sweep(ctx context.Context) {
	reported := int64(0)
	for pause(ctx, sweepInterval) {
		if dropped := n.droppedLogLines(); dropped > reported {
			event.LogLinesDropped.Log(n.log, slog.Int64("lines", dropped-reported))
			reported = dropped
		}
		n.pool.Sweep(time.Now())
		n.links.check(time.Now())
		n.sweepNotices()
	}
}

// stop drains the node.
//
// Callers keep using an old answer of the directory for a while, and a node that closed at
// once would break their requests. So the node first keeps serving, and announces on each
// answer that the connection closes. After the directory's time to live it accepts no new
// connections and closes idle ones, as a later request could not finish within the grace.
// It returns when all requests have finished or the grace is over.
func (n *Node) stop(ctx context.Context, front *http.Server, conns *connections) {
	began := time.Now()
	n.stopBound.set(began.Add(n.settings.Grace - stopReserve))
	n.links.carrier.Stop()
	n.mu.Lock()
	n.roster.SetSelf(false, true)
	n.mu.Unlock()
	event.ForwardStopping.Log(n.log, slog.Int64("active", n.active.Load()), slog.Int64("connections", conns.open.Load()))
	n.exchangeUrgently(ctx)
	closeAt := min(n.settings.AddressTTL+stopMargin, n.settings.Grace/3)
	for time.Since(began) < closeAt && (time.Since(began) < n.settings.AddressTTL || conns.open.Load() > 0) {
		if !pause(ctx, waitPollInterval) {
			return
		}
	}
	shutdownCtx, cancel := context.WithTimeout(ctx, n.settings.Grace-stopReserve-time.Since(began))
	defer cancel()
	if err := front.Shutdown(shutdownCtx); err != nil {
		event.ForwardGraceExpired.Log(n.log, slog.Int64("active", n.active.Load()), slog.String("err", err.Error()))
	}
	n.links.carrier.Wait(shutdownCtx)
}

// connections counts callers' connections and configures their server.
type connections struct {
	node *Node
	open atomic.Int64
}

func (c *connections) server(h http.Handler) *http.Server {
	return &http.Server{
		Handler:           intake.Handler(unframed.Handler(h)),
		ReadHeaderTimeout: headerTimeout, // for the first byte; the listener bounds the rest
		IdleTimeout:       idleSentinel,
		MaxHeaderBytes:    2 * maxHeadLimit, // the listener's bound is the lower one
		ErrorLog:          discardLog,
		ConnContext: func(ctx context.Context, c net.Conn) context.Context {
			return intake.ConnContext(unframed.ConnContext(ctx, c), c)
		},
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
	// headerTimeout bounds the wait for the first byte on a new connection.
	headerTimeout = 10 * time.Second
	// idleSentinel marks the idle timeout in the server's deadlines, for idleConn to
	// replace. It is longer than any deadline of a request.
	idleSentinel = 1000 * time.Hour
	// defaultIdleTimeout is the idle timeout if the configuration sets none.
	defaultIdleTimeout = 60 * time.Second
	// maxHeaderBytes bounds a request's header at the other ports.
	maxHeaderBytes = 64 << 10
)
