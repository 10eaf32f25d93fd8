package rollout

import (
	"fmt"
	"testing"
	"time"

	"github.com/hickorybank/hickorybank/internal/membership"
	"github.com/hickorybank/hickorybank/internal/platform"
	"github.com/hickorybank/hickorybank/internal/upstream"
)

// BenchmarkTick measures one second of the node that drives, with 24 versions: one tick
// and the answers to all its reads. It reports the messages to engines and the bytes of
// the row.
func BenchmarkTick(b *testing.B) {
	for _, engines := range []int{64, 1_000, 10_000} {
		b.Run(fmt.Sprintf("engines=%d", engines), func(b *testing.B) {
			d := newSweptDriver(b, engines)
			b.ReportAllocs()
			b.ResetTimer()
			for range b.N {
				d.runSecond()
			}
			seconds := float64(b.N)
			b.ReportMetric(float64(d.reads)/seconds, "reads/s")
			b.ReportMetric(float64(d.writes)/seconds, "writes/s")
			b.ReportMetric(float64(d.rowBytes), "row-B")
		})
	}
}

// benchDriver answers a machine at once.
type benchDriver struct {
	m               *Machine
	now             time.Time
	tick            Tick
	versions        []string
	version         uint64
	reads           int
	writes          int
	rowBytes        int
	rowBytesWritten int
	row             []byte
	// override, if set, may answer an action in place of answer.
	override func(Action) (Event, bool)
}

// newBenchDriver returns a driver before its first tick.
func newBenchDriver(engines int, models ...string) *benchDriver {
	d := &benchDriver{now: time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC), m: NewMachine(Settings{}, "n0", "run")}
	v := &membership.View{}
	for i := range engines {
		id := fmt.Sprintf("engine-%05d", i)
		vm := platform.VM{ID: id, Addr: id, FailureDomain: fmt.Sprintf("d%d", i%4)}
		v.Engines = append(v.Engines, membership.Member{VM: vm})
	}
	d.tick = Tick{View: v, Snapshot: compile("ordinary", models...), Fresh: true}
	return d
}

// newSweptDriver returns a driver that has read all engines.
func newSweptDriver(b *testing.B, engines int) *benchDriver {
	b.Helper()
	var models, versions []string
	for i := range 12 {
		models = append(models, fmt.Sprintf("m%d: m%d@1 serving, m%d@2 serving", i, i, i))
		versions = append(versions, fmt.Sprintf("m%d@1", i), fmt.Sprintf("m%d@2", i))
	}
	d := newBenchDriver(engines, models...)
	d.versions = versions
	for range 2*engines/DefaultReadsPerSecond + 60 { // long enough to read all engines
		d.runSecond()
	}
	if !d.m.fleetCounts.swept {
		b.Fatal("not all engines were read")
	}
	d.reads, d.writes = 0, 0
	return d
}

func (d *benchDriver) runSecond() {
	d.now = d.now.Add(time.Second)
	queue := d.m.Step(d.now, d.tick)
	for len(queue) > 0 {
		a := queue[0]
		queue = append(queue[1:], d.m.Step(d.now, d.answer(a))...)
	}
}

func (d *benchDriver) answer(a Action) Event {
	if d.override != nil {
		if ev, ok := d.override(a); ok {
			return ev
		}
	}
	switch a := a.(type) {
	case ReadEngine:
		d.reads++
		return EngineAnswer{Engine: a.Engine, Began: a.Began, State: upstream.EngineState{Versions: d.versions}}
	case WriteRow:
		d.writes++
		d.version++
		d.row, d.rowBytes = a.Value, len(a.Value)
		d.rowBytesWritten += len(a.Value)
		return RowWritten{Version: d.version}
	case SendOrder:
		return OrderAnswer{Engine: a.Engine, Began: a.Began, Result: OrderAccepted}
	}
	return RowAnswer{Version: d.version, Value: d.row}
}
