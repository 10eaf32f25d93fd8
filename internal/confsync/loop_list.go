package confsync

import (
	"log/slog"

	"github.com/hickorybank/hickorybank/internal/archive"
	"github.com/hickorybank/hickorybank/internal/event"
)

// handleListRead keeps a list that was read here if the core accepts it: a slow read may be
// older than the list that a peer has sent meanwhile. The archive is replaced before the
// step, because the step's answers to children may send the archive on.
func (l *loop) handleListRead(e Event, list *vmList) {
	old := l.list
	if old != nil && old.Tag() == list.digest {
		l.step(e)
		return
	}
	l.list = old.Replace(list.digest, list.raw)
	l.step(e)
	if l.core.ListDigest() != list.digest {
		l.list = old
		return
	}
	l.publishList(list)
}

// checkListRead returns the event, but turns a read that found the list unchanged into a failed
// read if a peer has sent another list meanwhile. Otherwise the core would use the digest of a
// list that this node no longer has.
func (l *loop) checkListRead(e Event) Event {
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

// handlePeerList keeps a list received from a peer, or rejects it if it cannot be decoded.
func (l *loop) handlePeerList(u archive.Update) {
	next, err := l.list.Apply(u)
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
	l.publishList(list)
}

func (l *loop) rejectList(err error) {
	event.ListRejected.Log(l.syncer.deps.Log, slog.Any("error", err))
	l.deferred = append(l.deferred, ListRejected{})
}

// publishList reports a new list to OnList and refreshes the members.
func (l *loop) publishList(list *vmList) {
	if l.syncer.deps.OnList != nil {
		l.syncer.deps.OnList(List{VMs: list.VMs, ReadAt: l.syncer.started.Add(l.core.ListReadAt())})
	}
	l.syncer.MembersChanged()
}
