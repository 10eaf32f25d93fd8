package membership

import (
	"context"
	"io"
	"log/slog"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/hickorybank/hickorybank/internal/peer"
	"github.com/hickorybank/hickorybank/internal/platform"
)

var self = platform.VM{ID: "self", Role: platform.RoleEntry, Addr: "s:1", Peer: "s:2", FailureDomain: "a", State: platform.Live}

func newTracker(onChange func(*View)) *Tracker {
	return New(Settings{}, Deps{Self: self, Log: slog.New(slog.NewTextHandler(io.Discard, nil)), OnChange: onChange})
}

func engine(id string) platform.VM {
	return platform.VM{ID: id, Role: platform.RoleEngine, Addr: id, FailureDomain: "a", State: platform.Live}
}

// Failures in quick succession count once, and the suspect is retried after the default time.
func TestSuspectIsRetriedAfterBackoff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		changes := 0
		tr := newTracker(func(*View) { changes++ })
		tr.SetList([]platform.VM{self, engine("e1")}, time.Now())
		tr.Observe("e1", ConnectFailed)
		tr.Observe("e1", ConnectFailed)
		is.Equal(tr.View().Engines[0].State, Suspect)
		is.Equal(changes, 2) // failures in quick succession count once
		time.Sleep(DefaultSuspectTime)
		is.Equal(tr.View().Engines[0].State, Live)
		is.Equal(changes, 3)
		tr.Observe("e1", Reached)
		is.Equal(changes, 4) // the recorded failure is cleared
		tr.Observe("e1", Reached)
		is.Equal(changes, 4) // further responses build no view
	})
}

func TestLeavingVMsAreLeftOutOfAddresses(t *testing.T) {
	is := is.New(t)
	tr := newTracker(nil)
	other := platform.VM{ID: "n2", Role: platform.RoleEntry, Addr: "n:1", Peer: "n:2", FailureDomain: "b", State: platform.Live}
	tr.SetList([]platform.VM{self, other}, time.Now())
	is.Equal(len(tr.Addresses("c", time.Now()).Addresses), 2)
	tr.MarkLeaving("n2")
	answer := tr.Addresses("c", time.Now())
	is.Equal(answer.Addresses, []string{"s:1"})
	is.Equal(answer.TTL, DefaultAnswerTTL)
	is.Equal(tr.View().EntryVMs()[0].State, platform.Leaving) // n2, in the list for peers too
	tr.MarkServing("n2")
	is.Equal(len(tr.Addresses("c", time.Now()).Addresses), 2)
}

// OnChange must be able to read the view. If a change holds the lock meanwhile, that
// deadlocks.
func TestViewDuringOnChangeDoesNotDeadlock(t *testing.T) {
	is := is.New(t)
	var tr *Tracker
	tr = newTracker(func(*View) { _ = tr.View() })
	var calls sync.WaitGroup
	for range 4 {
		calls.Go(func() {
			for range 200 {
				tr.SetList([]platform.VM{self, engine("e1")}, time.Now())
				tr.Observe("e1", ConnectFailed)
				tr.Observe("e1", Reached)
			}
		})
	}
	calls.Wait()
	is.Equal(len(tr.View().Engines), 1)
}

type callerFunc func(ctx context.Context) error

func (f callerFunc) Call(ctx context.Context, _, _ string, _, _ any) error { return f(ctx) }

func TestCallOutcomesSetMemberState(t *testing.T) {
	cases := []struct {
		name  string
		err   error
		calls int
		want  State
	}{
		{"answered", nil, 1, Live},
		{"not reached", peer.ErrNotSent, 1, Suspect},
		{"broken once", peer.ErrUnknown, 1, Live},
		{"broken thrice", peer.ErrUnknown, 3, Suspect},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			tr := newTracker(nil)
			tr.SetList([]platform.VM{self, engine("e1")}, time.Now())
			caller := NewObservedCaller(callerFunc(func(context.Context) error { return c.err }), tr)
			for range c.calls {
				is.Equal(caller.Call(context.Background(), "e1", "m", nil, nil), c.err)
			}
			is.Equal(tr.View().Engines[0].State, c.want)
		})
	}
}

// A call that its own caller cancelled must not make the peer a suspect.
func TestCancelledCallsAreNotFailures(t *testing.T) {
	is := is.New(t)
	tr := newTracker(nil)
	tr.SetList([]platform.VM{self, engine("e1")}, time.Now())
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	caller := NewObservedCaller(callerFunc(func(context.Context) error { return peer.ErrNotSent }), tr)
	is.True(caller.Call(ctx, "e1", "m", nil, nil) != nil)
	is.Equal(tr.View().Engines[0].State, Live)
}
