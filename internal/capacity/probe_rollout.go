package capacity

import (
	"time"

	"github.com/hickorybank/hickorybank/internal/config"
	"github.com/hickorybank/hickorybank/internal/membership"
	"github.com/hickorybank/hickorybank/internal/rollout"
	"github.com/hickorybank/hickorybank/internal/upstream"
)

func rolloutProbes() []Probe {
	return []Probe{
		{
			Slope: Slope{Name: "rollout.second", What: "a second of the driver: a tick, 50 engines' states taken, its row", Per: "engines", Unit: Nanoseconds},
			Sizes: fleetSizes, QuickSizes: []int{24, 256}, Measure: measureDriver,
		},
		{
			Slope: Slope{Name: "rollout.heap", What: "the heap of a driver that has read all engines", Per: "engines", Unit: Bytes},
			Sizes: fleetSizes, QuickSizes: []int{24, 256}, Measure: measureDriverHeap,
		},
		{
			Slope: Slope{Name: "rollout.row.bytes", What: "the driver's row", Per: "engines", Unit: Bytes},
			Sizes: fleetSizes, QuickSizes: []int{24, 256}, Measure: func(_ Meter, n int) (float64, error) {
				d, err := newDriver(n)
				return float64(len(d.row)), err
			},
		},
	}
}

// driver is a rollout machine that holds the row, with a table of one row. Its engines have every
// version of the first model and accept no commands.
type driver struct {
	machine  *rollout.Machine
	view     *membership.View
	snapshot *config.Snapshot
	now      time.Time
	row      []byte
	version  uint64
}

func newDriver(engines int) (*driver, error) {
	s, err := snapshotOf(fleetOrgs)
	if err != nil {
		return nil, err
	}
	d := &driver{machine: rollout.NewMachine(rollout.Settings{}, "entry-00000", "run"), view: &membership.View{}, snapshot: s, now: start}
	for _, vm := range fleet(0, engines, domainsOf(engines)) {
		d.view.Engines = append(d.view.Engines, membership.Member{VM: vm})
	}
	// Enough rounds to acquire the row and to read every engine once.
	rounds := 40 + int(float64(engines)/rollout.DefaultReadsPerSecond)
	for range rounds {
		d.second()
	}
	return d, nil
}

// second runs one tick and all resulting actions.
func (d *driver) second() {
	d.now = d.now.Add(rollout.DefaultTick)
	d.execute(d.machine.Step(d.now, rollout.Tick{View: d.view, Snapshot: d.snapshot, Fresh: true, Rank: 0}))
}

func (d *driver) execute(actions []rollout.Action) {
	for _, a := range append([]rollout.Action(nil), actions...) {
		d.execute(d.machine.Step(d.now, d.answer(a)))
	}
}

func (d *driver) answer(a rollout.Action) rollout.Event {
	switch a := a.(type) {
	case rollout.WriteRow:
		if a.Version != d.version {
			return rollout.RowAnswer{Version: d.version, Value: d.row}
		}
		d.version++
		d.row = a.Value
		return rollout.RowWritten{Version: d.version}
	case rollout.ReadEngine:
		load := loadReport()
		return rollout.EngineAnswer{Engine: a.Engine, Began: a.Began, State: engineState(), Load: &load}
	case rollout.SendOrder:
		return rollout.OrderAnswer{Engine: a.Engine, Began: a.Began, Result: rollout.OrderNotSent}
	case rollout.AskInForce:
		return rollout.InForceAnswer{Revision: a.Revision, InForce: true}
	default:
		return rollout.RowAnswer{Version: d.version, Value: d.row}
	}
}

func engineState() upstream.EngineState {
	s := upstream.EngineState{Fence: 1}
	for i := range docVersionsPerModel {
		s.Versions = append(s.Versions, versionName(i))
	}
	return s
}

func measureDriver(m Meter, engines int) (float64, error) {
	d, err := newDriver(engines)
	if err != nil {
		return 0, err
	}
	return m.CPU(func(n int) {
		for range n {
			d.second()
		}
	}), nil
}

func measureDriverHeap(m Meter, engines int) (float64, error) {
	var err error
	v := m.Heap(func() any {
		d, failed := newDriver(engines)
		err = failed
		return d
	})
	return v, err
}
