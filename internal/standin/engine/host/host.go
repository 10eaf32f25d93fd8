package host

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"sync"

	"github.com/rotisserie/eris"
	"github.com/sourcegraph/conc"

	"github.com/hickorybank/hickorybank/internal/event"
)

// Host serves one stand-in: its port for requests and its fault port.
type Host struct {
	log     *slog.Logger
	id      string
	port    *port
	freezer freezer
	active  inflight
	faults  net.Listener
	servers []*http.Server
	tasks   conc.WaitGroup
	// cut is closed when Close waits for requests no longer.
	cut     chan struct{}
	closing sync.Once
}

// New returns a host that is not yet listening.
func New(id string, log *slog.Logger) *Host {
	return &Host{id: id, log: log, cut: make(chan struct{})}
}

// Start listens on both ports; an empty faultAddr means no fault port.
func (h *Host) Start(addr string, requests http.Handler, faultAddr string, faults http.Handler) error {
	p, err := newPort(addr)
	if err != nil {
		return eris.Wrapf(err, "stand-in %s", h.id)
	}
	h.port = p
	if faultAddr != "" {
		l, err := net.Listen("tcp", faultAddr)
		if err != nil {
			_ = p.Close()
			return eris.Wrapf(err, "stand-in %s: fault port", h.id)
		}
		h.faults = l
		h.serve(l, faults)
	}
	h.serve(p, h.unfrozen(requests))
	event.StandinListening.Log(h.log, slog.String("id", h.id), slog.String("addr", h.Addr()), slog.String("faults", h.FaultAddr()))
	return nil
}

func (h *Host) unfrozen(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !h.active.enter() {
			panic(http.ErrAbortHandler)
		}
		defer h.active.leave()
		h.freezer.wait()
		next.ServeHTTP(w, r)
	})
}

func (h *Host) serve(l net.Listener, handler http.Handler) {
	srv := &http.Server{Handler: handler, ErrorLog: slog.NewLogLogger(h.log.Handler(), slog.LevelDebug)}
	h.servers = append(h.servers, srv)
	h.tasks.Go(func() {
		if err := srv.Serve(l); !eris.Is(err, http.ErrServerClosed) {
			event.StandinServeFail.Log(h.log, slog.String("id", h.id), slog.Any("error", err))
		}
	})
}

// Addr returns the IP and port for requests.
func (h *Host) Addr() string { return h.port.Addr().String() }

// FaultAddr returns the IP and port of the fault port, or "".
func (h *Host) FaultAddr() string {
	if h.faults == nil {
		return ""
	}
	return h.faults.Addr().String()
}

// Down refuses new connections and breaks the present ones.
func (h *Host) Down() { h.port.down() }

// Up takes connections again.
func (h *Host) Up() error { return h.port.up() }

// Freeze holds up all requests until Thaw.
func (h *Host) Freeze() { h.freezer.freeze() }

// Thaw lets the held up requests go on.
func (h *Host) Thaw() { h.freezer.thaw() }

// WaitThawed returns once the host is not frozen.
func (h *Host) WaitThawed() { h.freezer.wait() }

// Cut returns a channel that closes when Close waits for requests no longer.
func (h *Host) Cut() <-chan struct{} { return h.cut }

// Close thaws, takes no new connections, waits for requests until ctx is done,
// and then breaks them. Handlers have to end when Cut says so.
func (h *Host) Close(ctx context.Context) error {
	h.Thaw()
	var failed error
	for _, srv := range h.servers {
		if err := srv.Shutdown(ctx); err != nil {
			failed = eris.Wrapf(err, "stand-in %s: close", h.id)
			_ = srv.Close()
		}
	}
	h.closing.Do(func() { close(h.cut) })
	h.active.drain()
	h.tasks.Wait()
	event.StandinClosed.Log(h.log, slog.String("id", h.id))
	return failed
}
