package rollout

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/hickorybank/hickorybank/internal/config"
)

const (
	// faultTime ends the faults, but for pauses and crashes that began in it,
	// which last up to a minute.
	faultTime = 130 * time.Second
	// quietTime is within which a world without faults must be as wanted.
	quietTime = 240 * time.Second
)

// document reads versions of models, as in "m: a serving, b staged 0.25".
func document(preset string, models ...string) *config.Document {
	d := &config.Document{
		Preset:  preset,
		Presets: []config.Preset{{Name: "ordinary", RolloutsMove: true}, {Name: "maintenance"}},
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

// stages are a roll-out from its beginning to the end of what it replaces.
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
	return Settings{LoadsAtOnce: 2, Slots: slots, Patience: 20 * time.Second, DrainFor: 30 * time.Second}
}

// drawWorld is the world of a seed, with its schedule of faults.
func drawWorld(seed uint64, g guards) *world {
	settings := simSettings([]int{0, 2, 3}[seed%3])
	// In a quarter of the seeds the pace follows the store, and rows are long.
	follows := seed%4 == 3
	if follows {
		settings.LoadsPart = 0.5
	}
	w := newWorld(seed, settings, g)
	if follows {
		w.few = 1
	}
	boots := [][]string{{"a"}, {"a", "x"}, {"x"}, {"a", "x"}}
	all := w.random.IntN(3) == 0
	for i := range 8 {
		boot := boots[w.random.IntN(len(boots))]
		if all {
			boot = boots[1]
		}
		e := w.addEngine(fmt.Sprintf("e%d", i), fmt.Sprintf("d%d", i%4), w.random.IntN(2) == 0, boot...)
		e.busy = w.random.IntN(4) == 0
	}
	w.look()
	for range 3 {
		w.addNode()
	}
	w.drawStages()
	w.drawFaults()
	return w
}

// bring brings a stage in.
func (w *world) bring(preset, stage int) {
	s := *stages[preset][stage]
	s.Revision = uint64(len(w.revisions) + 1)
	w.adopt(&s)
}

func (w *world) drawStages() {
	stage, preset := 0, 0
	w.bring(0, 0)
	for i, at := range []time.Duration{10 * time.Second, 40 * time.Second, 70 * time.Second} {
		w.after(at+w.random64(15*time.Second), func() {
			stage = i + 1
			w.bring(preset, stage)
		})
	}
	if w.random.IntN(3) == 0 {
		at := w.random64(80 * time.Second)
		w.after(at, func() { preset = 1; w.bring(preset, stage) })
		w.after(at+w.random64(40*time.Second), func() { preset = 0; w.bring(preset, stage) })
	}
	if w.random.IntN(8) == 0 {
		w.after(95*time.Second, func() { stage = 2; w.bring(preset, stage) })
		w.after(115*time.Second, func() { stage = 3; w.bring(preset, stage) })
	}
}

func (w *world) drawFaults() {
	rate := func(of float64) float64 {
		if w.random.IntN(2) == 0 {
			return 0
		}
		return of * w.random.Float64()
	}
	w.faults = faults{
		pauses: rate(0.1), loseAcks: rate(0.2), lateWrites: rate(0.1), lateOrders: rate(0.3), loseOrderAcks: rate(0.3), failLoads: rate(0.4),
		late: 40 * time.Second, load: 2*time.Second + w.random64(20*time.Second),
	}
	for range w.random.IntN(6) {
		w.after(w.random64(faultTime), w.drawFault)
	}
	w.after(faultTime, func() { w.faults = faults{load: w.faults.load} })
}

func (w *world) drawFault() {
	n := w.nodes[w.random.IntN(len(w.nodes))]
	if holder := w.holder(); holder != nil && w.random.IntN(2) == 0 {
		n = holder
	}
	e := w.engines[w.random.IntN(len(w.engines))]
	long := time.Second + w.random64(60*time.Second)
	switch w.random.IntN(8) {
	case 0, 1:
		n.pause(long)
	case 2:
		if !n.down {
			n.crash()
			w.after(long, n.boot)
		}
	case 3:
		w.faults.tableDown = true
		w.after(long/2, func() { w.faults.tableDown = false })
	case 4:
		e.fail(long / 3)
	case 5:
		for _, x := range w.engines {
			if x.domain == e.domain {
				x.fail(long / 2)
			}
		}
	case 6:
		n.close()
	case 7:
		w.faults.inForceOut = true
		w.after(long, func() { w.faults.inForceOut = false })
	}
}

// outcome is what became of a seed.
type outcome struct {
	broken  string
	strays  int
	settled time.Duration // after the last fault
}

func runSeed(seed uint64, g guards) outcome {
	w := drawWorld(seed, g)
	return w.finish()
}

func (w *world) finish() outcome {
	end := w.start.Add(faultTime)
	w.runUntil(end)
	const look = 5 * time.Second
	after := time.Duration(0)
	for ; w.broken == "" && w.unsettled() != "" && after < quietTime; after += look {
		w.runUntil(w.now.Add(look))
	}
	if w.broken == "" && w.unsettled() != "" {
		w.violate("%s, %v after the last fault", w.unsettled(), after)
	}
	return outcome{broken: w.broken, strays: w.strays, settled: after}
}
