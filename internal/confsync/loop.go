package confsync

import (
	"time"

	"github.com/hickorybank/hickorybank/internal/archive"
	"github.com/hickorybank/hickorybank/internal/config"
)

// loop is the goroutine that owns the core.
type loop struct {
	syncer *Syncer
	core   *Core
	// waiting are the requests that wait for a decision of the core.
	waiting map[Token]chan Decision
	tokens  Token

	doc        *archive.Archive
	snapshot   *config.Snapshot
	list       *archive.Archive
	lastStatus Status
	// deferred are events that arose while decisions were executed.
	deferred []Event
}

func newLoop(s *Syncer) *loop {
	boot := uint64(s.started.UnixNano())
	return &loop{
		syncer:  s,
		core:    NewCore(s.settings, s.deps.Self, boot, s.now()),
		waiting: map[Token]chan Decision{},
	}
}

func (l *loop) run() {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	l.step(MembersChanged{VMs: l.syncer.deps.Members()})
	for {
		select {
		case <-l.syncer.ctx.Done():
			return
		case in := <-l.syncer.events:
			l.handle(in)
		case <-l.syncer.members:
			l.step(MembersChanged{VMs: l.syncer.deps.Members()})
		case <-ticker.C:
			l.step(Tick{})
			l.report()
		}
	}
}

func (l *loop) handle(in input) {
	if in.ask != nil {
		l.tokens++
		l.waiting[l.tokens] = in.answers
		l.step(in.ask(l.tokens))
		return
	}
	switch {
	case in.applied != nil:
		l.handleApplied(in.event, in.applied)
	case in.list != nil:
		l.handleListRead(in.event, in.list)
	default:
		l.step(l.checkListRead(in.event))
	}
}

// handleApplied puts a prepared configuration in force here. The archive is replaced before the
// step, because the step's answers to children send the archive on.
func (l *loop) handleApplied(e Event, a *applied) {
	if a.archive.Tag() <= l.core.Revision() {
		l.step(e)
		return
	}
	l.doc = a.archive
	l.snapshot = a.snapshot
	l.step(e)
	l.logApplied()
	if l.syncer.deps.OnApply != nil {
		l.syncer.deps.OnApply(a.snapshot)
	}
}

// step passes an event to the core and executes its decisions.
func (l *loop) step(e Event) {
	for _, d := range l.core.Step(l.syncer.now(), e) {
		l.execute(d)
	}
	l.publish()
	for len(l.deferred) > 0 {
		next := l.deferred[0]
		l.deferred = l.deferred[1:]
		l.step(next)
	}
}

// publish replaces the configuration and its time that callers read, if either has changed.
func (l *loop) publish() {
	if l.snapshot == nil || l.snapshot.Revision != l.core.Revision() {
		return
	}
	until := l.core.FreshUntil()
	old := l.syncer.inForce.Load()
	if old != nil && old.snapshot == l.snapshot && old.until == until {
		return
	}
	l.syncer.inForce.Store(&inForce{snapshot: l.snapshot, until: until})
}
