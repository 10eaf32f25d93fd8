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
	// tickGap is the time between two looks at what has fallen due.
	tickGap = 50 * time.Millisecond
	// eventBuffer bounds the events that wait for the core.
	eventBuffer = 256
	// jobBuffer is above the number of documents that the core has brought in
	// at one time, one from the table and one from a peer.
	jobBuffer = 4
)

// ErrClosed says that the Syncer is closed.
var ErrClosed = errors.New("configuration sync is closed")

// Syncer keeps this node's configuration in step with the platform's table.
// One goroutine owns the core, one applies documents; each call to the table
// or a peer has its own, and the core bounds how many there are.
type Syncer struct {
	settings Settings
	deps     Deps
	started  time.Time

	events  chan input
	jobs    chan job
	members chan struct{}
	inForce atomic.Pointer[inForce]
	status  atomic.Pointer[Status]
	// whole asks the next fetch for the whole document: stored deltas did not
	// lead to it, as when another release encodes a field differently.
	whole atomic.Bool
	// failing says that the last read of the head failed.
	failing  atomic.Bool
	lastRead listRead
	// sender gives children documents that are longer than a piece, receiver takes
	// them from a parent; pulling has one call at a time.
	sender   *transfer.Sender
	receiver *transfer.Receiver

	ctx    context.Context
	stop   context.CancelFunc
	duties *conc.WaitGroup
}

// New returns a Syncer that is not yet started.
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
		duties:   conc.NewWaitGroup(),
		sender:   transfer.NewSender(0),
		receiver: transfer.NewReceiver(d.Self.ID),
	}
}

// Start begins the duties.
func (s *Syncer) Start() error {
	if err := s.settings.Validate(); err != nil {
		return err
	}
	s.duties.Go(newLoop(s).run)
	s.duties.Go(s.applyJobs)
	return nil
}

// Close ends the duties and waits for them, or for the end of ctx.
func (s *Syncer) Close(ctx context.Context) error {
	s.stop()
	done := make(chan struct{})
	go func() {
		s.duties.Wait()
		close(done)
	}()
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return eris.Wrap(ctx.Err(), "close configuration sync")
	}
}

// Register offers the Syncer to peers; call it before the server starts.
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

// Current returns the configuration applied here and whether new work may be
// admitted under it, as one consistent pair. Ask again just before work is
// sent to an upstream: a request that waited in a queue may have outlived it.
func (s *Syncer) Current() (snapshot *config.Snapshot, fresh bool) {
	f := s.inForce.Load()
	if f == nil {
		return nil, false
	}
	return f.snapshot, s.now() < f.until
}

// Fresh says whether new work may be admitted now. It looks at the clock: a
// flag set by a timer would still stand in a process that was paused.
func (s *Syncer) Fresh() bool {
	f := s.inForce.Load()
	return f != nil && s.now() < f.until
}

// FreshUntil returns until when new work may be admitted without a newer
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

// Confirmations asks the entry nodes which of them have the revision.
func (s *Syncer) Confirmations(ctx context.Context, revision uint64) (Confirmation, error) {
	ask := func(t Token) Event { return ConfirmAsked{Token: t, Revision: revision} }
	answer, err := s.ask(ctx, ask)
	if err != nil {
		return Confirmation{}, err
	}
	return answer.(AnswerConfirm).Confirmation, nil
}

// Poke reads the head at once, after a change was accepted here.
func (s *Syncer) Poke() { s.post(input{event: Poked{}}) }

// MembersChanged says that Deps.Members gives something new. It does not
// block, so that it may be called from the functions of Deps.
func (s *Syncer) MembersChanged() {
	select {
	case s.members <- struct{}{}:
	default: // one is under way and will see the newest
	}
}

func (s *Syncer) now() time.Duration { return time.Since(s.started) }
