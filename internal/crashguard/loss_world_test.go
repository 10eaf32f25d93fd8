package crashguard

import (
	"fmt"
	"os"
	"slices"
	"testing"
	"time"
)

const (
	// worldDown is how long processes are down after a loss of all of them, worldInTouch how long
	// after their start what they send counts.
	worldDown    = time.Second
	worldInTouch = 3 * time.Second
	// worldRecording is the time from a strike until the table holds it.
	worldRecording = 10 * time.Millisecond
	// worldRecordPause is the pause between two checks for what strikers have not recorded.
	worldRecordPause = 300 * time.Millisecond
)

// worldTable is the platform's table in a world whose processes may all be lost.
type worldTable struct {
	data          []byte
	reads, writes int
	// lostUntil is when the processes that were lost last are up again.
	lostUntil time.Duration
	// saveAt is when a node writes what it has found out; 0 for never.
	saveAt []time.Duration
	// missing is set if there is no table: what is lost with all processes is lost.
	missing bool
}

func (w *world) tableClock() TableClock { return TableClock{Origin: worldEpoch.Add(-time.Hour)} }

// loseProcesses ends all processes. What they had sent goes on to run.
func (w *world) loseProcesses() {
	w.table.lostUntil = w.now + worldDown
	w.table.saveAt = make([]time.Duration, w.nodes)
	for i := range w.guards {
		w.guards[i], w.news[i] = New(), false
	}
	for _, e := range w.engines {
		for _, a := range e.attempts {
			a.orphaned = true
		}
	}
	w.notices = nil
}

// startProcesses lets the processes begin to serve: one reads the table, and the others ask it.
func (w *world) startProcesses() {
	w.load(0, true)
	for i := 1; i < w.nodes; i++ {
		w.guards[i].Merge(w.guards[0].Report(w.time()), w.time())
	}
}

func (w *world) load(node int, starts bool) (r Record) {
	if w.table.missing {
		return r
	}
	w.table.reads++
	if w.table.data == nil {
		return r
	}
	r, err := DecodeRecord(w.table.data)
	if err != nil {
		panic(err) // nobody else writes it
	}
	w.guards[node].MergeRecord(r, w.tableClock(), starts, w.time())
	return r
}

// save lets a node write what the table lacks.
func (w *world) save(node int) {
	if w.table.missing {
		return
	}
	held := w.load(node, false)
	if d, ok := w.guards[node].Draft(held, w.tableClock(), w.time()); ok {
		w.table.writes++
		w.table.data = d.Data
		w.guards[node].NoteRecorded(d)
	}
}

// playTable plays losses of all processes, and what nodes record.
func (w *world) playTable() {
	t := w.table
	if t == nil {
		return
	}
	for _, at := range w.processLosses {
		if at >= w.now && at < w.now+worldTick {
			w.loseProcesses()
		}
	}
	if t.lostUntil > 0 && t.lostUntil >= w.now && t.lostUntil < w.now+worldTick {
		w.startProcesses()
	}
	for i, at := range t.saveAt {
		if at > 0 && w.now >= at {
			t.saveAt[i] = 0
			w.save(i)
		}
	}
	if w.now%worldRecordPause < worldTick && !w.areLost() && w.guards[0].HasUnrecorded(w.time()) {
		w.save(0)
	}
}

// areLost reports whether all processes are down.
func (w *world) areLost() bool { return w.table != nil && w.now < w.table.lostUntil }

// recordSoon lets a node record what it has found out.
func (w *world) recordSoon(node int) {
	if w.table != nil && w.table.saveAt[node] == 0 {
		w.table.saveAt[node] = w.now + worldRecording
	}
}

// lateInTouch returns how many runs of the wave's request were sent later than lateAfter after its
// third crash, by processes in touch.
func (w *world) lateInTouch() (late int) {
	crashes := w.crashes[waveName]
	if len(crashes) < costlyStrikes {
		return 0
	}
	for _, at := range w.arrivals[waveName] {
		outOfTouch := slices.ContainsFunc(w.processLosses, func(lost time.Duration) bool { return at >= lost && at < lost+worldDown+worldInTouch })
		if at > crashes[costlyStrikes-1]+lateAfter && !outOfTouch {
			late++
		}
	}
	return late
}

// withLosses gives a world a table, and losses of all its processes.
func (w *world) withLosses(at ...time.Duration) *world {
	w.processLosses = at
	w.table = &worldTable{saveAt: make([]time.Duration, w.nodes)}
	return w
}

// lossOfAllCases are the losses of all processes that are played. HICKORYBANK_WAVES=all plays more of them,
// at more nodes, each without the record as well.
var lossOfAllCases = struct {
	sizes    [][2]int
	together []int
	after    []time.Duration
	compare  bool
}{[][2]int{{2, 1}, {6, 4}}, []int{1, 4}, []time.Duration{30 * time.Millisecond, time.Second}, false}

func init() {
	if os.Getenv("HICKORYBANK_WAVES") == "all" {
		lossOfAllCases.sizes = [][2]int{{2, 1}, {6, 4}, {6, 18}, {48, 40}}
		lossOfAllCases.together = []int{1, 2, 4, 8}
		lossOfAllCases.after = []time.Duration{30 * time.Millisecond, 300 * time.Millisecond, time.Second, 2500 * time.Millisecond}
		lossOfAllCases.compare = true
	}
}

// Fails if a request that crashes upstreams in waves crashes more of them because all processes were
// lost, at any moment from the recording of the first crash on, once or in series.
func TestWavesAfterLossesOfAllProcesses(t *testing.T) {
	const maxLate = 3
	pause := 5 * time.Second
	for _, size := range lossOfAllCases.sizes {
		for _, delay := range []time.Duration{time.Millisecond, 44 * time.Millisecond, 700 * time.Millisecond} {
			t.Run(fmt.Sprintf("%d nodes, %d engines, crash after %v", size[0], size[1], delay), func(t *testing.T) {
				t.Parallel()
				plays, worst, worstWithout := 0, 0, 0
				for _, together := range lossOfAllCases.together {
					for _, after := range lossOfAllCases.after {
						for _, losses := range []int{1, 3} {
							late := [2]int{}
							for i, missing := range []bool{false, true} {
								if missing && !lossOfAllCases.compare {
									continue
								}
								v := &wave{together: together, pause: pause, until: time.Second + 8*pause, delay: delay}
								w := waveWorld(size[0], size[1], uint64(plays), v)
								var at []time.Duration
								for n := range losses {
									at = append(at, time.Second+time.Duration(n+1)*pause+delay+after)
								}
								w.withLosses(at...).table.missing = missing
								w.run(v.until + time.Second)
								late[i] = w.lateInTouch()
							}
							plays, worst, worstWithout = plays+1, max(worst, late[0]), max(worstWithout, late[1])
							if late[0] > maxLate {
								t.Errorf("%d together, lost %d times, %v after the crash: %d late, %d may", together, losses, after, late[0], maxLate)
							}
						}
					}
				}
				t.Logf("%d plays: %d late at the worst", plays, worst)
				if lossOfAllCases.compare {
					t.Logf("without the record: %d", worstWithout)
				}
			})
		}
	}
}

// Fails if sound requests that were in flight when upstreams and all processes were lost stay refused.
func TestHotRequestIsServedAfterLossesOfAllProcesses(t *testing.T) {
	for _, losses := range []int{1, 3} {
		for _, share := range []float64{0.25, 1} {
			t.Run(fmt.Sprintf("%d losses of %.0f%%", losses, 100*share), func(t *testing.T) {
				w := waveWorld(8, 18, 7, nil)
				w.share, w.hot, w.soundPerSecond = share, 1.0/3, 160
				var at []time.Duration
				for n := range losses {
					lost := lossAt + time.Duration(n)*4*time.Second
					w.losses = append(w.losses, lost)
					at = append(at, lost+50*time.Millisecond)
				}
				w.withLosses(at...)
				w.run(lossAt + 40*time.Second)
				refused := float64(w.hotRefusedUp) / (w.soundPerSecond * w.hot)
				t.Logf("%.1f s of its traffic refused while an engine was up; %d reads, %d writes", refused, w.table.reads, w.table.writes)
				if bound := hotBound.Seconds() * float64(losses); refused > bound {
					t.Errorf("%.1f s of the hot request's traffic were refused while an engine was up, %.1f s may", refused, bound)
				}
				for i, g := range w.guards {
					if len(g.Blocking(hotRequest, w.time())) > 0 {
						t.Errorf("node %d still refuses the hot request", i)
					}
				}
			})
		}
	}
}
