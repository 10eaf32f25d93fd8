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
	// asked are the questions that wait for an answer of the core.
	asked  map[Token]chan Decision
	tokens Token

	doc      *archive.Archive
	snapshot *config.Snapshot
	list     *archive.Archive
	last     Status
	// later are events that came up while decisions were carried out.
	later []Event
}

func newLoop(s *Syncer) *loop {
	boot := uint64(s.started.UnixNano())
	return &loop{
		syncer: s,
		core:   NewCore(s.settings, s.deps.Self, boot, s.now()),
		asked:  map[Token]chan Decision{},
	}
}

func (l *loop) run() {
	ticker := time.NewTicker(tickGap)
	defer ticker.Stop()
	l.step(MembersChanged{VMs: l.syncer.deps.Members()})
	for {
		select {
		case <-l.syncer.ctx.Done():
			return
		case in := <-l.syncer.events:
			l.take(in)
		case <-l.syncer.members:
			l.step(MembersChanged{VMs: l.syncer.deps.Members()})
		case <-ticker.C:
			l.step(Tick{})
			l.report()
		}
	}
}

func (l *loop) take(in input) {
	if in.ask != nil {
		l.tokens++
		l.asked[l.tokens] = in.answers
		l.step(in.ask(l.tokens))
		return
	}
	switch {
	case in.applied != nil:
		l.takeApplied(in.event, in.applied)
	case in.list != nil:
		l.takeListRead(in.event, in.list)
	default:
		l.step(l.checked(in.event))
	}
}

// takeApplied makes a prepared configuration the one in force here. The
// archive is changed before the step, whose answers to children send it on.
func (l *loop) takeApplied(e Event, a *applied) {
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

// step feeds the core and carries out what it decides.
func (l *loop) step(e Event) {
	for _, d := range l.core.Step(l.syncer.now(), e) {
		l.act(d)
	}
	l.publish()
	for len(l.later) > 0 {
		next := l.later[0]
		l.later = l.later[1:]
		l.step(next)
	}
}

// publish swaps the pair that callers look at when it has changed.
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
