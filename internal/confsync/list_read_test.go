package confsync

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/hickorybank/hickorybank/internal/archive"
	"github.com/hickorybank/hickorybank/internal/platform"
)

// countedLists is a platform's list that counts full reads.
type countedLists struct {
	vms       atomic.Pointer[[]platform.VM]
	fullReads atomic.Int64
}

func (l *countedLists) set(ids ...string) {
	vms := []platform.VM{}
	for _, id := range ids {
		vms = append(vms, platform.VM{ID: id, Role: platform.RoleEntry})
	}
	l.vms.Store(&vms)
}

func (l *countedLists) List(context.Context) ([]platform.VM, error) {
	l.fullReads.Add(1)
	return *l.vms.Load(), nil
}

// taggedLists also supports conditional reads.
type taggedLists struct{ countedLists }

func (l *taggedLists) ListIfChanged(ctx context.Context, tag string) (platform.TaggedVMs, error) {
	now := fmt.Sprint(*l.vms.Load())
	if now == tag {
		return platform.TaggedVMs{Tag: tag, Unchanged: true}, nil
	}
	vms, err := l.List(ctx)
	return platform.TaggedVMs{VMs: vms, Tag: now}, err
}

// noStore is a table that is never available.
type noStore struct{}

var errNoStore = errors.New("no table")

func (noStore) Head(context.Context) (uint64, error)             { return 0, errNoStore }
func (noStore) Document(context.Context, uint64) ([]byte, error) { return nil, errNoStore }
func (noStore) Deltas(context.Context, uint64, uint64) ([]archive.Delta, error) {
	return nil, errNoStore
}

// readLists runs a node for a minute, changes the list, and runs it for another minute. It
// returns the lists that the node reported.
func readLists(t *testing.T, lists platform.VMs, change func()) []List {
	var reported []List
	s := New(Settings{}, Deps{
		Store: noStore{}, Lists: lists, Log: slog.New(slog.DiscardHandler),
		Self:    platform.VM{ID: "e1", FailureDomain: "manga"},
		Members: func() []platform.VM { return nil },
		OnList:  func(l List) { reported = append(reported, l) },
	})
	if err := s.Start(); err != nil {
		t.Fatal(err)
	}
	time.Sleep(time.Minute)
	change()
	time.Sleep(time.Minute)
	if err := s.Close(context.Background()); err != nil {
		t.Fatal(err)
	}
	return reported
}

// An unchanged list is not read in full. The list of 11,600 VMs has 1.3 MB, and a full
// read every 2 s would use 116 times a reader's network budget.
func TestUnchangedListIsNotReadInFull(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		lists := &taggedLists{}
		lists.set("e1")
		reported := readLists(t, lists, func() { lists.set("e1", "e2") })
		is.Equal(lists.fullReads.Load(), int64(2))
		is.Equal(len(reported), 2)
		is.Equal(len(reported[1].VMs), 2)
	})
}

// With a platform without conditional reads, each read is full, and only changes are reported.
func TestListIsReadWithoutConditionalReads(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		lists := &countedLists{}
		lists.set("e1")
		reported := readLists(t, lists, func() { lists.set("e1", "e2") })
		is.True(lists.fullReads.Load() >= 50)
		is.Equal(len(reported), 2)
	})
}

// A peer sends a newer list while a read reports the last list read here as unchanged.
// That result must not apply to the newer list, otherwise a VM that has left is kept.
func TestUnchangedReadDoesNotReplacePeerList(t *testing.T) {
	is := is.New(t)
	s := New(Settings{}, Deps{Store: noStore{}, Self: platform.VM{ID: "e1"}, Log: slog.New(slog.DiscardHandler)})
	l := newLoop(s)
	l.list = archive.New(8, nil, nil)
	is.Equal(l.checkListRead(ListRead{Token: 3, Digest: 7}), Event(ListFailed{Token: 3}))
	is.Equal(l.checkListRead(ListRead{Token: 3, Digest: 8}), Event(ListRead{Token: 3, Digest: 8}))

	lists := &taggedLists{}
	lists.set("e1")
	s.deps.Lists = lists
	first, err := s.fetchList(t.Context(), 0)
	is.NoErr(err)
	again, err := s.fetchList(t.Context(), first.digest)
	is.NoErr(err)
	is.True(again == nil) // unchanged
	other, err := s.fetchList(t.Context(), first.digest+1)
	is.NoErr(err)
	is.True(other != nil) // the node's current list has another digest
}
