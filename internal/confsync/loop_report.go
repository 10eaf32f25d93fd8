package confsync

import (
	"log/slog"

	"github.com/hickorybank/hickorybank/internal/event"
)

// report updates the status and logs changes in it.
func (l *loop) report() {
	status := l.core.Status(l.syncer.now())
	if l.snapshot != nil {
		status.Preset = l.snapshot.Doc.Preset
	}
	l.syncer.status.Store(&status)
	l.logFreshness(status)
	if status.Reader != l.lastStatus.Reader {
		l.logRole(status)
	}
	l.lastStatus = status
}

func (l *loop) logFreshness(s Status) {
	attrs := []slog.Attr{slog.Uint64("revision", s.Revision), slog.Duration("proof_age", s.ProofAge)}
	switch {
	case s.Outage && !l.lastStatus.Outage:
		event.ConfigOutage.Log(l.syncer.deps.Log, attrs...)
	case !s.Fresh && l.lastStatus.Fresh:
		event.ConfigStale.Log(l.syncer.deps.Log, attrs...)
	case s.Fresh && !s.Outage && (!l.lastStatus.Fresh || l.lastStatus.Outage):
		event.ConfigFresh.Log(l.syncer.deps.Log, attrs...)
	}
}

func (l *loop) logRole(s Status) {
	if s.Reader {
		event.ConfigReader.Log(l.syncer.deps.Log)
		return
	}
	event.ConfigFollower.Log(l.syncer.deps.Log, slog.String("parent", s.Parent))
}

func (l *loop) logApplied() {
	event.ConfigApplied.Log(l.syncer.deps.Log,
		slog.Uint64("revision", l.snapshot.Revision), slog.String("preset", l.snapshot.Doc.Preset))
}
