package confsync

import (
	"log/slog"

	"github.com/hickorybank/hickorybank/internal/archive"
	"github.com/hickorybank/hickorybank/internal/event"
)

// takeListRead keeps a list that was read here, if the core takes it: a slow
// read may be older than the list that a peer sent meanwhile. The archive is
// changed before the step, whose answers to children may send it on.
func (l *loop) takeListRead(e Event, list *vmList) {
	old := l.list
	if old != nil && old.Tag() == list.tag {
		l.step(e)
		return
	}
	l.list = old.Replace(list.tag, list.raw)
	l.step(e)
	if l.core.ListDigest() != list.tag {
		l.list = old
		return
	}
	l.tellList(list)
}

// checked is the event, or for a read that found the list unchanged a failed
// read when a peer sent another list meanwhile: the core would take the digest
// of a list that is no longer here.
func (l *loop) checked(e Event) Event {
	if read, ok := e.(ListRead); ok && read.Digest != l.listDigest() {
		return ListFailed{Token: read.Token}
	}
	return e
}

func (l *loop) listDigest() uint64 {
	if l.list == nil {
		return 0
	}
	return l.list.Tag()
}

// takeListSent keeps a list that a peer sent.
func (l *loop) takeListSent(u archive.Update) {
	next, err := l.list.Take(u)
	if err != nil {
		l.rejectList(err)
		return
	}
	list, err := parseVMList(next)
	if err != nil {
		l.rejectList(err)
		return
	}
	l.list = next
	l.tellList(list)
}

func (l *loop) rejectList(err error) {
	event.ListRejected.Log(l.syncer.deps.Log, slog.Any("error", err))
	l.later = append(l.later, ListTakeFailed{})
}

func (l *loop) tellList(list *vmList) {
	if l.syncer.deps.OnList != nil {
		l.syncer.deps.OnList(List{VMs: list.VMs, ReadAt: l.syncer.started.Add(l.core.ListAt())})
	}
	l.syncer.MembersChanged()
}
