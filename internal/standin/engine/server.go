package engine

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/hickorybank/hickorybank/internal/standin/engine/host"
	"github.com/hickorybank/hickorybank/internal/standin/engine/model"
)

// Server is one stand-in engine with its request port and its fault port.
type Server struct {
	settings Settings
	log      *slog.Logger
	host     *host.Host
	weights  weightStore
	tasks    conc.WaitGroup
	// baseCtx is cancelled when the server closes, which ends the driver and downloads.
	baseCtx    context.Context
	cancelBase context.CancelFunc
	// wake wakes the driver when work may be due earlier than it expects.
	wake chan struct{}

	mu      sync.Mutex
	clock   clock
	faults  Faults
	engine  *model.Engine
	control *model.Control
	streams map[string]*generation
	running map[uint64]*generation
	lastID  uint64
	// epoch identifies the time between two restarts in load reports.
	epoch uint64
	runs  runLog
	// restartAt is when a crashed engine restarts; zero means that it is not crashed.
	restartAt time.Time
	lastSweep time.Duration
	events    []model.Event
}

// New returns an engine that is not yet listening, or an error for invalid settings.
func New(s Settings, log *slog.Logger) (*Server, error) {
	if err := s.Validate(); err != nil {
		return nil, err
	}
	s = s.withDefaults()
	baseCtx, cancelBase := context.WithCancel(context.Background())
	srv := &Server{
		settings:   s,
		log:        log,
		host:       host.New(s.ID, log),
		weights:    newWeightStore(s.WeightsURL),
		baseCtx:    baseCtx,
		cancelBase: cancelBase,
		wake:       make(chan struct{}, 1),
		clock:      newClock(),
		faults:     newFaults(s.LoadLag),
	}
	if err := srv.boot(); err != nil {
		cancelBase()
		return nil, err
	}
	return srv, nil
}

// boot sets the initial state of a process.
func (s *Server) boot() error {
	lag := time.Duration(s.faults.LoadLagMillis) * time.Millisecond
	e, err := model.New(s.settings.model(lag))
	if err != nil {
		return err
	}
	e.SetSlow(s.faults.SlowFactor)
	s.engine = e
	s.control = model.NewControl(s.settings.Versions, s.settings.HonourFence)
	s.streams = make(map[string]*generation)
	s.running = make(map[uint64]*generation)
	s.epoch = host.NewEpoch()

	return nil
}

// Start listens and serves until Close. It returns an error if a port cannot be bound.
func (s *Server) Start() error {
	if err := s.host.Start(s.settings.Listen, s.routes(), s.settings.FaultListen, s.faultRoutes()); err != nil {
		s.cancelBase()
		return err
	}
	s.tasks.Go(s.runDriver)
	return nil
}

// Addr returns the IP and port for requests.
func (s *Server) Addr() string { return s.host.Addr() }

// FaultAddr returns the IP and port of the fault port, or "" without one.
func (s *Server) FaultAddr() string { return s.host.FaultAddr() }

// Close waits for streams until ctx is done, then cuts them, and releases all resources.
// It returns an error if streams were cut.
func (s *Server) Close(ctx context.Context) error {
	s.thaw()
	err := s.host.Close(ctx)
	s.cancelBase()
	s.tasks.Wait()
	s.weights.close()
	return err
}

// wakeDriver makes the driver check for due work. It does not block.
func (s *Server) wakeDriver() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}
