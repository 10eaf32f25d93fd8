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

// Host serves one stand-in on its request port and its fault port.
type Host struct {
	log           *slog.Logger
	id            string
	port          *port
	freezer       freezer
	inflight      inflight
	faultListener net.Listener
	servers       []*http.Server
	tasks         conc.WaitGroup
	// cut is closed when Close stops waiting for requests.
	cut     chan struct{}
	cutOnce sync.Once
}

// New returns a host that is not yet listening. id identifies the stand-in in events
// and errors.
func New(id string, log *slog.Logger) *Host {
	return &Host{id: id, log: log, cut: make(chan struct{})}
}

// Start listens on both addresses and serves until Close. An empty faultAddr means no
// fault port. It returns an error if an address cannot be bound.
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
		h.faultListener = l
		h.serve(l, faults)
	}
	h.serve(p, h.withFreezer(requests))
	event.StandinListening.Log(h.log, slog.String("id", h.id), slog.String("addr", h.Addr()), slog.String("faults", h.FaultAddr()))
	return nil
}

// withFreezer blocks requests while the host is frozen and counts them for Close.
func (h *Host) withFreezer(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !h.inflight.enter() {
			panic(http.ErrAbortHandler)
		}
		defer h.inflight.leave()
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

// Addr returns the IP and port for requests. It must not be called before Start.
func (h *Host) Addr() string { return h.port.Addr().String() }

// FaultAddr returns the IP and port of the fault port, or "" without one.
func (h *Host) FaultAddr() string {
	if h.faultListener == nil {
		return ""
	}
	return h.faultListener.Addr().String()
}

// Down refuses new connections and closes the open ones. Handlers continue.
func (h *Host) Down() { h.port.down() }

// Up accepts connections again after Down. It returns an error if listening fails.
func (h *Host) Up() error { return h.port.up() }

// Freeze blocks new requests until Thaw. Handlers of earlier requests can block by
// calling WaitThawed.
func (h *Host) Freeze() { h.freezer.freeze() }

// Thaw ends Freeze: blocked requests continue.
func (h *Host) Thaw() { h.freezer.thaw() }

// WaitThawed returns once the host is not frozen.
func (h *Host) WaitThawed() { h.freezer.wait() }

// Cut returns a channel that is closed when Close stops waiting for requests.
func (h *Host) Cut() <-chan struct{} { return h.cut }

// Close thaws the host, stops accepting connections and waits for requests until ctx
// is done. Then it closes their connections and the Cut channel, upon which handlers
// must return.
func (h *Host) Close(ctx context.Context) error {
	h.Thaw()
	var closeErr error
	for _, srv := range h.servers {
		if err := srv.Shutdown(ctx); err != nil {
			closeErr = eris.Wrapf(err, "stand-in %s: close", h.id)
			_ = srv.Close()
		}
	}
	h.cutOnce.Do(func() { close(h.cut) })
	h.inflight.drain()
	h.tasks.Wait()
	event.StandinClosed.Log(h.log, slog.String("id", h.id))
	return closeErr
}
