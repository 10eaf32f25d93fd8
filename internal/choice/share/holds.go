package share

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"sync"
	"time"

	"github.com/hickorybank/hickorybank/internal/choice"
	"github.com/hickorybank/hickorybank/internal/event"
)

// holds sends the holds of degraded versions to peers and to the table, and applies those
// of other nodes.
type holds struct {
	deps Deps

	mu sync.Mutex
	// unrecorded are the latest holds, by version, that are not in the table yet.
	unrecorded map[string]choice.Hold
	scanned    time.Time
	// unreadable is the number of rows that the last scan could not decode.
	unreadable int
}

func newHolds(d Deps) *holds { return &holds{deps: d, unrecorded: map[string]choice.Hold{}} }

// publish sends new holds to peers and records them. A hold applies on this node as soon
// as it is raised. While the table is down, the hold stays in unrecorded, and peers have
// it from this node.
func (h *holds) publish(ctx context.Context, _ time.Time) {
	raised := h.deps.Chooser.NewHolds()
	for _, hold := range raised {
		event.VersionHeld.Log(h.deps.Log, slog.String("version", hold.Version), slog.Uint64("term", hold.Term),
			slog.String("reason", string(hold.Reason)), slog.String("class", hold.Class))
	}
	h.addUnrecorded(raised)
	if len(raised) > 0 {
		h.notifyPeers(ctx, raised)
	}
	for _, class := range h.deps.Chooser.Stranded() {
		event.ClassStranded.Log(h.deps.Log, slog.String("class", class))
	}
	h.recordPending(ctx)
}

func (h *holds) addUnrecorded(raised []choice.Hold) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, hold := range raised {
		h.unrecorded[hold.Version] = hold
	}
}

// notifyPeers sends holds to all peers of the group at once. Holds are rare, so the
// number of calls does not matter.
func (h *holds) notifyPeers(ctx context.Context, list []choice.Hold) {
	var calls sync.WaitGroup
	for _, vm := range newGroup(h.deps.Self, h.deps.Members()).members {
		if vm.ID == h.deps.Self.ID {
			continue
		}
		calls.Go(func() {
			ctx, cancel := context.WithTimeout(ctx, callTimeout)
			defer cancel()
			// A peer that is not reached gets the hold with its next report or scan.
			_ = h.deps.Peers.Call(ctx, vm.Peer, methodHold, &list, new(struct{}))
		})
	}
	calls.Wait()
}

// recordPending writes the unrecorded holds to the table, up to the first error.
func (h *holds) recordPending(ctx context.Context) {
	for _, hold := range h.pending() {
		ctx, cancel := context.WithTimeout(ctx, callTimeout)
		stored, err := recordHold(ctx, h.deps.Table, hold)
		cancel()
		if err != nil {
			return // the next interval retries
		}
		h.deps.Chooser.ApplyHold(stored)
		h.markRecorded(hold)
	}
}

func (h *holds) pending() []choice.Hold {
	h.mu.Lock()
	defer h.mu.Unlock()
	var list []choice.Hold
	for _, hold := range h.unrecorded {
		list = append(list, hold)
	}
	return list
}

func (h *holds) markRecorded(hold choice.Hold) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.unrecorded[hold.Version] == hold {
		delete(h.unrecorded, hold.Version)
	}
}

// apply applies holds that come from peers or the table and returns those that are new.
func (h *holds) apply(list []choice.Hold) []choice.Hold {
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

// scan reads the holds from the table. The group's scanner does so often and notifies the
// others of changes; every other node does so at a longer interval.
func (h *holds) scan(ctx context.Context, now time.Time) {
	scanner := newGroup(h.deps.Self, h.deps.Members()).scanner().ID == h.deps.Self.ID
	if !scanner && now.Sub(h.scanned) < allNodesScanInterval {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	list, unreadable, err := readHolds(ctx, h.deps.Table)
	if err != nil {
		return // known holds stay in force
	}
	if len(unreadable) > 0 && len(unreadable) != h.unreadable {
		event.HoldRowBroken.Log(h.deps.Log, slog.Int("rows", len(unreadable)), slog.String("error", fmt.Sprintf("%.256s", unreadable[0])))
	}
	h.scanned, h.unreadable = now, len(unreadable)
	if changed := h.apply(list); scanner && len(changed) > 0 {
		h.notifyPeers(ctx, changed)
	}
}

// Holds returns the holds in the table. It may return some holds together with an error.
func (s *Share) Holds(ctx context.Context) ([]choice.Hold, error) {
	list, unreadable, err := readHolds(ctx, s.deps.Table)
	return list, errors.Join(append(unreadable, err)...)
}

// Lift ends one term of a version's hold and notifies the group. It returns false if the
// version has no such term or a later one. After an error that wraps
// [platform.ErrUnknown] the hold may or may not have ended.
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
	s.holds.apply([]choice.Hold{hold})
	s.holds.notifyPeers(ctx, []choice.Hold{hold})
	return true, nil
}
