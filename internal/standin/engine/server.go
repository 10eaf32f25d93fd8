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

// Server is one stand-in engine.
type Server struct {
	settings Settings
	log      *slog.Logger
	host     *host.Host
	weights  weightStore
	tasks    conc.WaitGroup
	// stop ends the driver and downloads when the server closes.
	stop context.Context
	end  context.CancelFunc
	// kick wakes the driver when there may be something earlier to do.
	kick chan struct{}

	mu      sync.Mutex
	clock   clock
	faults  Faults
	engine  *model.Engine
	control *model.Control
	streams map[string]*generation
	running map[uint64]*generation
	lastID  uint64
	// epoch tells the engine\'s lives apart.
	epoch uint64
	runs  runLog
	// restartAt is when a crashed engine comes back; 0 is not crashed.
	restartAt time.Time
	swept     time.Duration
	events    []model.Event
}

// New checks the settings and returns an engine that is not yet listening.
func New(s Settings, log *slog.Logger) (*Server, error) {
	if err := s.Validate(); err != nil {
		return nil, err
	}
	s = s.withDefaults()
	stop, end := context.WithCancel(context.Background())
	srv := &Server{
		settings: s,
		log:      log,
		host:     host.New(s.ID, log),
		weights:  newWeightStore(s.WeightsURL),
		stop:     stop,
		end:      end,
		kick:     make(chan struct{}, 1),
		clock:    newClock(),
		faults:   newFaults(s.LoadLag),
	}
	if err := srv.boot(); err != nil {
		end()
		return nil, err
	}
	return srv, nil
}

// boot sets up what a fresh process has.
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

// Start listens and serves until Close.
func (s *Server) Start() error {
	if err := s.host.Start(s.settings.Listen, s.routes(), s.settings.FaultListen, s.faultRoutes()); err != nil {
		s.end()
		return err
	}
	s.tasks.Go(s.drive)
	return nil
}

// Addr returns the IP and port for requests.
func (s *Server) Addr() string { return s.host.Addr() }

// FaultAddr returns the IP and port of the fault port, or "".
func (s *Server) FaultAddr() string { return s.host.FaultAddr() }

// Close waits for streams until ctx is done, then cuts them, and releases
// everything.
func (s *Server) Close(ctx context.Context) error {
	s.thaw()
	err := s.host.Close(ctx)
	s.end()
	s.tasks.Wait()
	s.weights.close()
	return err
}

// nudge wakes the driver.
func (s *Server) nudge() {
	select {
	case s.kick <- struct{}{}:
	default:
	}
}
