package share

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"github.com/hickorybank/hickorybank/internal/choice"
	"github.com/hickorybank/hickorybank/internal/event"
)

// holds tells peers and the table which versions turned bad, and learns it
// from them.
type holds struct {
	deps Deps

	mu sync.Mutex
	// unrecorded are holds that are not yet in the table.
	unrecorded map[string]choice.Hold
	scanned    time.Time
}

func newHolds(d Deps) *holds { return &holds{deps: d, unrecorded: map[string]choice.Hold{}} }

// spread tells peers of new holds and records them. A hold is in force at this
// node since it was raised; while the table is down it waits here, and peers
// have it from this node.
func (h *holds) spread(ctx context.Context, _ time.Time) {
	raised := h.deps.Chooser.NewHolds()
	for _, hold := range raised {
		event.VersionHeld.Log(h.deps.Log, slog.String("version", hold.Version), slog.Uint64("term", hold.Term),
			slog.String("reason", string(hold.Reason)), slog.String("class", hold.Class))
	}
	h.keep(raised)
	if len(raised) > 0 {
		h.tell(ctx, raised)
	}
	for _, class := range h.deps.Chooser.Stranded() {
		event.ClassStranded.Log(h.deps.Log, slog.String("class", class))
	}
	h.record(ctx)
}

func (h *holds) keep(raised []choice.Hold) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, hold := range raised {
		h.unrecorded[hold.Version] = hold
	}
}

// tell tells all peers of the group. Holds are rare, so that this may be many.
func (h *holds) tell(ctx context.Context, list []choice.Hold) {
	var calls sync.WaitGroup
	for _, vm := range newGroup(h.deps.Self, h.deps.Members()).members {
		if vm.ID == h.deps.Self.ID {
			continue
		}
		calls.Go(func() {
			ctx, cancel := context.WithTimeout(ctx, callTimeout)
			defer cancel()
			// One that is not reached has it from its next report or scan.
			_ = h.deps.Peers.Call(ctx, vm.Peer, methodHold, &list, new(struct{}))
		})
	}
	calls.Wait()
}

func (h *holds) record(ctx context.Context) {
	for _, hold := range h.waiting() {
		ctx, cancel := context.WithTimeout(ctx, callTimeout)
		present, err := recordHold(ctx, h.deps.Table, hold)
		cancel()
		if err != nil {
			return // the next tick tries again
		}
		h.deps.Chooser.ApplyHold(present)
		h.recorded(hold)
	}
}

func (h *holds) waiting() []choice.Hold {
	h.mu.Lock()
	defer h.mu.Unlock()
	var list []choice.Hold
	for _, hold := range h.unrecorded {
		list = append(list, hold)
	}
	return list
}

func (h *holds) recorded(hold choice.Hold) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.unrecorded[hold.Version] == hold {
		delete(h.unrecorded, hold.Version)
	}
}

// learn takes in holds that came from elsewhere and returns the new ones.
func (h *holds) learn(list []choice.Hold) []choice.Hold {
	var changed []choice.Hold
	for _, hold := range list {
		if !h.deps.Chooser.ApplyHold(hold) {
			continue
		}
		changed = append(changed, hold)
		e := event.HoldLearned
		if hold.Lifted {
			e = event.HoldEnded
		}
		e.Log(h.deps.Log, slog.String("version", hold.Version), slog.Uint64("term", hold.Term), slog.String("node", hold.Node))
	}
	return changed
}

// scan reads the holds from the table: one node of a group often, which tells
// the others, and each node now and then.
func (h *holds) scan(ctx context.Context, now time.Time) {
	scanner := newGroup(h.deps.Self, h.deps.Members()).scanner().ID == h.deps.Self.ID
	if !scanner && now.Sub(h.scanned) < slowScanGap {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	list, err := readHolds(ctx, h.deps.Table)
	if err != nil {
		return // what is known stays in force
	}
	h.scanned = now
	if changed := h.learn(list); scanner && len(changed) > 0 {
		h.tell(ctx, changed)
	}
}

// Holds returns the holds in the table.
func (s *Share) Holds(ctx context.Context) ([]choice.Hold, error) {
	return readHolds(ctx, s.deps.Table)
}

// Lift ends one term of a version's hold; false when there is no such term, or
// a later one. An error of [platform.ErrUnknown] says that it may have ended.
func (s *Share) Lift(ctx context.Context, version string, term uint64) (bool, error) {
	row, err := s.deps.Table.Get(ctx, holdPrefix+version)
	if err != nil {
		return false, err
	}
	hold, err := parseHold(row)
	if err != nil {
		return false, err
	}
	if hold.Term != term || term == 0 {
		return false, nil
	}
	if !hold.Lifted {
		hold.Lifted = true
		result, err := s.deps.Table.Commit(ctx, holdTxn(holdPrefix+version, row.Version, hold))
		if err != nil || !result.Applied {
			return false, err
		}
	}
	s.holds.learn([]choice.Hold{hold})
	s.holds.tell(ctx, []choice.Hold{hold})
	return true, nil
}
