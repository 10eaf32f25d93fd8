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

// countedLists is a platform's list that counts the whole reads.
type countedLists struct {
	vms    atomic.Pointer[[]platform.VM]
	wholes atomic.Int64
}

func (l *countedLists) set(ids ...string) {
	vms := []platform.VM{}
	for _, id := range ids {
		vms = append(vms, platform.VM{ID: id, Role: platform.RoleEntry})
	}
	l.vms.Store(&vms)
}

func (l *countedLists) List(context.Context) ([]platform.VM, error) {
	l.wholes.Add(1)
	return *l.vms.Load(), nil
}

// taggedLists can also say that nothing changed.
type taggedLists struct{ countedLists }

func (l *taggedLists) ListUnless(ctx context.Context, tag string) (platform.TaggedVMs, error) {
	now := fmt.Sprint(*l.vms.Load())
	if now == tag {
		return platform.TaggedVMs{Tag: tag, Unchanged: true}, nil
	}
	vms, err := l.List(ctx)
	return platform.TaggedVMs{VMs: vms, Tag: now}, err
}

// noStore is a table that is never there.
type noStore struct{}

var errNoStore = errors.New("no table")

func (noStore) Head(context.Context) (uint64, error)             { return 0, errNoStore }
func (noStore) Document(context.Context, uint64) ([]byte, error) { return nil, errNoStore }
func (noStore) Deltas(context.Context, uint64, uint64) ([]archive.Delta, error) {
	return nil, errNoStore
}

// readLists runs a node for a minute, changes the list, and runs it another
// minute. It returns the lists that came out of it.
func readLists(t *testing.T, lists platform.VMs, change func()) []List {
	var heard []List
	s := New(Settings{}, Deps{
		Store: noStore{}, Lists: lists, Log: slog.New(slog.DiscardHandler),
		Self:    platform.VM{ID: "e1", FailureDomain: "manga"},
		Members: func() []platform.VM { return nil },
		OnList:  func(l List) { heard = append(heard, l) },
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
	return heard
}

// The list of 11,600 VMs has 1.3 MB. A reader read it whole every 2 s, at 116
// times its budget of the network, also when nothing had changed.
func TestListIsReadWholeOnlyWhenItChanged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		lists := &taggedLists{}
		lists.set("e1")
		heard := readLists(t, lists, func() { lists.set("e1", "e2") })
		is.Equal(lists.wholes.Load(), int64(2))
		is.Equal(len(heard), 2)
		is.Equal(len(heard[1].VMs), 2)
	})
}

// A platform without conditional reads serves as before.
func TestListIsReadFromAPlatformWithoutTags(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		lists := &countedLists{}
		lists.set("e1")
		heard := readLists(t, lists, func() { lists.set("e1", "e2") })
		is.True(lists.wholes.Load() >= 50)
		is.Equal(len(heard), 2)
	})
}

// A peer sends a newer list while a read finds that the last one that was read
// here is unchanged. Taking that for the newer one would keep a VM that left.
func TestUnchangedListIsNotTakenForAPeersList(t *testing.T) {
	is := is.New(t)
	s := New(Settings{}, Deps{Store: noStore{}, Self: platform.VM{ID: "e1"}, Log: slog.New(slog.DiscardHandler)})
	l := newLoop(s)
	l.list = archive.New(8, nil, nil)
	is.Equal(l.checked(ListRead{Token: 3, Digest: 7}), Event(ListFailed{Token: 3}))
	is.Equal(l.checked(ListRead{Token: 3, Digest: 8}), Event(ListRead{Token: 3, Digest: 8}))

	lists := &taggedLists{}
	lists.set("e1")
	s.deps.Lists = lists
	first, err := s.fetchList(t.Context(), 0)
	is.NoErr(err)
	again, err := s.fetchList(t.Context(), first.tag)
	is.NoErr(err)
	is.True(again == nil) // unchanged
	other, err := s.fetchList(t.Context(), first.tag+1)
	is.NoErr(err)
	is.True(other != nil) // what the node has now has another tag
}
