package rollout

import (
	"log/slog"
	"slices"
	"time"

	"github.com/hickorybank/hickorybank/internal/event"
	"github.com/hickorybank/hickorybank/internal/ledger/rank"
	"github.com/hickorybank/hickorybank/internal/platform"
)

// watchers is how many nodes watch the row, so that the reads of it do not grow with the
// fleet.
const watchers = 3

// run owns the machine until the driver is closed.
func (d *Driver) run() {
	ticker := time.NewTicker(d.settings.Tick)
	defer ticker.Stop()
	for {
		select {
		case <-d.ctx.Done():
			return
		case <-ticker.C:
			d.step(d.tick())
		case ev := <-d.events:
			d.step(ev)
		}
	}
}

func (d *Driver) tick() Tick {
	snapshot, fresh := d.deps.Snapshot()
	return Tick{View: d.deps.View(), Snapshot: snapshot, Fresh: fresh, Rank: d.rank()}
}

// rank is this node's place among the watchers, or -1. Nodes that see different members
// may both take rank 0: the condition of their writes lets one succeed.
func (d *Driver) rank() int {
	first := rank.First(RowKey, d.deps.Members(), watchers)
	return slices.IndexFunc(first, func(vm platform.VM) bool { return vm.ID == d.deps.Self.ID })
}

func (d *Driver) step(ev Event) {
	term, stages := d.machine.row.term, d.machine.row.record.Versions
	actions := d.machine.Step(time.Now(), ev)
	d.logTerm(term, d.machine.row.term)
	d.logStages(stages, d.machine.row.record.Versions)
	for _, a := range actions {
		d.perform(a)
	}
}

func (d *Driver) logTerm(before, after uint64) {
	switch {
	case before == after:
	case after == 0:
		event.RolloutYielded.Log(d.deps.Log, slog.Uint64("term", before))
	default:
		event.RolloutHolding.Log(d.deps.Log, slog.Uint64("term", after))
	}
}

func (d *Driver) logStages(before, after []Progress) {
	if !d.machine.holdsLease() {
		return
	}
	for i := range after {
		at := findProgress(before, after[i].Version)
		if at >= 0 && before[at].Stage == after[i].Stage {
			continue
		}
		event.RolloutStage.Log(d.deps.Log, slog.String("version", after[i].Version), slog.String("stage", string(after[i].Stage)))
	}
}

// post passes an answer to the machine, or drops it when the driver closes.
func (d *Driver) post(ev Event) {
	select {
	case d.events <- ev:
	case <-d.ctx.Done():
	}
}
