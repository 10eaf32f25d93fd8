package rollout

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/hickorybank/hickorybank/internal/config"
)

const (
	// faultPhase is the time in which faults begin. Pauses and crashes last up to a
	// minute beyond it.
	faultPhase = 130 * time.Second
	// settleLimit is the time without faults within which the engines must match the
	// configuration.
	settleLimit = 240 * time.Second
)

// document parses the versions of models, as in "m: a serving, b staged 0.25".
func document(preset string, models ...string) *config.Document {
	d := &config.Document{
		Preset:  preset,
		Presets: []config.Preset{{Name: "ordinary", AdvanceRollouts: true}, {Name: "maintenance"}},
		Classes: []config.Class{{Name: "draft", Kind: config.Heavy, DeadlineMillis: 20_000}},
	}
	for _, text := range models {
		name, versions, _ := strings.Cut(text, ":")
		m := config.Model{Name: name}
		for _, v := range strings.Split(versions, ",") {
			m.Versions = append(m.Versions, parseVersion(v))
		}
		d.Models = append(d.Models, m)
	}
	return d
}

func parseVersion(text string) config.Version {
	words := strings.Fields(text)
	v := config.Version{Name: words[0], State: config.VersionState(words[1]), InputCost: 1, OutputCost: 1, PriorQuality: 0.9}
	if len(words) > 2 {
		v.Share, _ = strconv.ParseFloat(words[2], 64)
		v.ExposureCap = 10
	}
	return v
}

func compile(preset string, models ...string) *config.Snapshot {
	s, err := config.Compile(1, document(preset, models...))
	if err != nil {
		panic(err)
	}
	return s
}

// stages are the configurations of a rollout, by preset, up to the withdrawal of the old
// version.
var stages = func() (list [2][]*config.Snapshot) {
	for i, preset := range []string{"ordinary", "maintenance"} {
		for _, m := range []string{
			"m: a serving, b staged, c staged",
			"m: a serving, b staged 0.25, c staged",
			"m: a serving, b serving, c staged",
			"m: a withdrawn, b serving, c staged 0.5",
		} {
			list[i] = append(list[i], compile(preset, m, "n: x serving"))
		}
	}
	return list
}()

func simSettings(slots int) Settings {
	return Settings{InitialLoads: 2, Slots: slots, OrderTimeout: 20 * time.Second, DrainTimeout: 30 * time.Second}
}

// drawWorld returns the world of a seed, with its schedule of faults.
func drawWorld(seed uint64, g disabledRules) *world {
	settings := simSettings([]int{0, 2, 3}[seed%3])
	// In a quarter of the seeds the load limit adapts to the store, and the rows count as
	// long.
	adaptive := seed%4 == 3
	if adaptive {
		settings.MaxLoadsPart = 0.5
	}
	w := newWorld(seed, settings, g)
	if adaptive {
		w.immediateOrders = 1
	}
	bootSets := [][]string{{"a"}, {"a", "x"}, {"x"}, {"a", "x"}}
	identical := w.random.IntN(3) == 0
	for i := range 8 {
		boot := bootSets[w.random.IntN(len(bootSets))]
		if identical {
			boot = bootSets[1]
		}
		e := w.addEngine(fmt.Sprintf("e%d", i), fmt.Sprintf("d%d", i%4), w.random.IntN(2) == 0, boot...)
		e.busy = w.random.IntN(4) == 0
	}
	w.updateView()
	for range 3 {
		w.addNode()
	}
	w.drawStages()
	w.drawFaults()
	return w
}

// adoptStage applies the configuration of a stage.
func (w *world) adoptStage(preset, stage int) {
	s := *stages[preset][stage]
	s.Revision = uint64(len(w.revisions) + 1)
	w.addRevision(&s)
}

func (w *world) drawStages() {
	stage, preset := 0, 0
	w.adoptStage(0, 0)
	for i, at := range []time.Duration{10 * time.Second, 40 * time.Second, 70 * time.Second} {
		w.after(at+w.randomDuration(15*time.Second), func() {
			stage = i + 1
			w.adoptStage(preset, stage)
		})
	}
	if w.random.IntN(3) == 0 {
		at := w.randomDuration(80 * time.Second)
		w.after(at, func() { preset = 1; w.adoptStage(preset, stage) })
		w.after(at+w.randomDuration(40*time.Second), func() { preset = 0; w.adoptStage(preset, stage) })
	}
	if w.random.IntN(8) == 0 {
		w.after(95*time.Second, func() { stage = 2; w.adoptStage(preset, stage) })
		w.after(115*time.Second, func() { stage = 3; w.adoptStage(preset, stage) })
	}
}

func (w *world) drawFaults() {
	rate := func(limit float64) float64 {
		if w.random.IntN(2) == 0 {
			return 0
		}
		return limit * w.random.Float64()
	}
	w.faults = faults{
		pauses: rate(0.1), loseAcks: rate(0.2), lateWrites: rate(0.1), lateOrders: rate(0.3), loseOrderAcks: rate(0.3), failLoads: rate(0.4),
		delay: 40 * time.Second, loadTime: 2*time.Second + w.randomDuration(20*time.Second),
	}
	for range w.random.IntN(6) {
		w.after(w.randomDuration(faultPhase), w.drawFault)
	}
	w.after(faultPhase, func() { w.faults = faults{loadTime: w.faults.loadTime} })
}

func (w *world) drawFault() {
	n := w.nodes[w.random.IntN(len(w.nodes))]
	if holder := w.holder(); holder != nil && w.random.IntN(2) == 0 {
		n = holder
	}
	e := w.engines[w.random.IntN(len(w.engines))]
	duration := time.Second + w.randomDuration(60*time.Second)
	switch w.random.IntN(8) {
	case 0, 1:
		n.pause(duration)
	case 2:
		if !n.down {
			n.crash()
			w.after(duration, n.boot)
		}
	case 3:
		w.faults.tableDown = true
		w.after(duration/2, func() { w.faults.tableDown = false })
	case 4:
		e.fail(duration / 3)
	case 5:
		for _, x := range w.engines {
			if x.domain == e.domain {
				x.fail(duration / 2)
			}
		}
	case 6:
		n.close()
	case 7:
		w.faults.inForceOut = true
		w.after(duration, func() { w.faults.inForceOut = false })
	}
}

// outcome is the result of a seed.
type outcome struct {
	violation   string
	strayOrders int
	settled     time.Duration // time from the last fault until the engines matched
}

func runSeed(seed uint64, g disabledRules) outcome {
	w := drawWorld(seed, g)
	return w.finish()
}

func (w *world) finish() outcome {
	end := w.start.Add(faultPhase)
	w.runUntil(end)
	const step = 5 * time.Second
	after := time.Duration(0)
	for ; w.violation == "" && w.unsettled() != "" && after < settleLimit; after += step {
		w.runUntil(w.now.Add(step))
	}
	if w.violation == "" && w.unsettled() != "" {
		w.violatef("%s, %v after the last fault", w.unsettled(), after)
	}
	return outcome{violation: w.violation, strayOrders: w.strayOrders, settled: after}
}
