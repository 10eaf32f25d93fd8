package confsync

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"github.com/sourcegraph/conc"

	"github.com/hickorybank/hickorybank/internal/config"
	"github.com/hickorybank/hickorybank/internal/peer"
	"github.com/hickorybank/hickorybank/internal/transfer"
)

const (
	// tickInterval is the interval between two ticks of the core.
	tickInterval = 50 * time.Millisecond
	// eventBuffer is the capacity of the queue of events for the core.
	eventBuffer = 256
	// jobBuffer is larger than the number of documents that the core has in flight: one from
	// the table and one from a peer.
	jobBuffer = 4
)

// ErrClosed reports that the [Syncer] is closed.
var ErrClosed = errors.New("configuration sync is closed")

// Syncer keeps this node's configuration in sync with the platform's table. One goroutine owns
// the core and another applies documents. Each call to the table or a peer has its own, and
// the core bounds their number. Its methods are safe for concurrent use.
type Syncer struct {
	settings Settings
	deps     Deps
	started  time.Time

	events  chan input
	jobs    chan job
	members chan struct{}
	inForce atomic.Pointer[inForce]
	status  atomic.Pointer[Status]
	// fetchFull makes the next fetch read the full document, after stored deltas did not
	// produce it, as when another release encodes a field differently.
	fetchFull atomic.Bool
	// readFailing is set if the last read of the head failed.
	readFailing atomic.Bool
	lastRead    listRead
	// sender sends documents larger than a piece to children; receiver gets them from a
	// parent, one call at a time.
	sender   *transfer.Sender
	receiver *transfer.Receiver

	ctx   context.Context
	stop  context.CancelFunc
	tasks *conc.WaitGroup
}

// New returns a [Syncer]; [Syncer.Start] starts it.
func New(s Settings, d Deps) *Syncer {
	ctx, cancel := context.WithCancel(context.Background())
	return &Syncer{
		settings: s.WithDefaults(),
		deps:     d,
		started:  time.Now(),
		events:   make(chan input, eventBuffer),
		jobs:     make(chan job, jobBuffer),
		members:  make(chan struct{}, 1),
		ctx:      ctx,
		stop:     cancel,
		tasks:    conc.NewWaitGroup(),
		sender:   transfer.NewSender(0),
		receiver: transfer.NewReceiver(d.Self.ID),
	}
}

// Start starts the goroutines. It returns an error if the settings are not valid.
func (s *Syncer) Start() error {
	if err := s.settings.Validate(); err != nil {
		return err
	}
	s.tasks.Go(newLoop(s).run)
	s.tasks.Go(s.applyJobs)
	return nil
}

// Close stops the goroutines and waits for them or for the end of ctx, which is an error.
func (s *Syncer) Close(ctx context.Context) error {
	s.stop()
	done := make(chan struct{})
	go func() {
		s.tasks.Wait()
		close(done)
	}()
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return eris.Wrap(ctx.Err(), "close configuration sync")
	}
}

// Register registers the Syncer's methods for peers. It must be called before the server
// starts.
func (s *Syncer) Register(server *peer.Server) error {
	return server.Register(ServiceName, &service{syncer: s})
}

// Snapshot returns the configuration applied here, or nil.
func (s *Syncer) Snapshot() *config.Snapshot {
	if f := s.inForce.Load(); f != nil {
		return f.snapshot
	}
	return nil
}

// Current returns the configuration applied here and whether new work may be admitted under
// it, as one consistent pair. Callers must check again just before work is sent to an
// upstream, because the configuration may expire while a request is queued.
func (s *Syncer) Current() (snapshot *config.Snapshot, fresh bool) {
	f := s.inForce.Load()
	if f == nil {
		return nil, false
	}
	return f.snapshot, s.now() < f.until
}

// Fresh reports whether new work may be admitted now. It reads the clock: a flag cleared by a
// timer would still be set when a paused process resumes.
func (s *Syncer) Fresh() bool {
	f := s.inForce.Load()
	return f != nil && s.now() < f.until
}

// FreshUntil returns the time until which new work may be admitted without a more recent
// proof; the zero time means not at all.
func (s *Syncer) FreshUntil() time.Time {
	f := s.inForce.Load()
	if f == nil || f.until == 0 {
		return time.Time{}
	}
	return s.started.Add(f.until)
}

// Status returns this node's state as of the last tick.
func (s *Syncer) Status() Status {
	if status := s.status.Load(); status != nil {
		return *status
	}
	return Status{}
}

// Confirmations surveys the entry nodes and returns how far a revision is in force.
func (s *Syncer) Confirmations(ctx context.Context, revision uint64) (Confirmation, error) {
	ask := func(t Token) Event { return ConfirmRequested{Token: t, Revision: revision} }
	answer, err := s.ask(ctx, ask)
	if err != nil {
		return Confirmation{}, err
	}
	return answer.(AnswerConfirm).Confirmation, nil
}

// RequestRead requests an immediate read of the head, after a change was accepted here.
func (s *Syncer) RequestRead() { s.post(input{event: ReadRequested{}}) }

// MembersChanged reports that the result of [Deps.Members] has changed. It does not block, so
// that the functions of Deps may call it.
func (s *Syncer) MembersChanged() {
	select {
	case s.members <- struct{}{}:
	default: // an update is already pending and will read the newest members
	}
}

func (s *Syncer) now() time.Duration { return time.Since(s.started) }
