package crashguard

import (
	"fmt"
	"math/rand/v2"
	"os"
	"testing"
	"time"
)

// wave is one request that is sent several times at once, again and again, and crashes each engine
// that begins to run it.
type wave struct {
	together      int
	pause         time.Duration
	until         time.Duration
	delay, jitter time.Duration
	// parts are the shared parts of its prompt, of which the last crashes engines. Without parts
	// the request itself does.
	parts []string
	// badFrom is when it begins to crash engines; before that it is answered.
	badFrom time.Duration
	// moveAfter is how long a node waits for an answer before it moves the request; 0 for ever.
	moveAfter time.Duration
	// mendedAt is when it no longer crashes engines; never if 0.
	mendedAt time.Duration
}

// waveName is the name under which crashes and arrivals of a wave's request are counted.
const waveName = "wave"

// sendWave sends the copies that are due, each to another node if there are enough.
func (w *world) sendWave() {
	v := w.wave
	if v == nil || w.now < time.Second || w.now >= v.until || (w.now-time.Second)%v.pause >= worldTick {
		return
	}
	nodes := w.r.Perm(w.nodes)
	for i := range v.together {
		w.send(w.waveAttempt(nodes[i%w.nodes]))
	}
}

func (w *world) waveAttempt(node int) *worldAttempt {
	a := &worldAttempt{node: node, first: true, bad: true, parts: w.wave.parts}
	for _, p := range a.parts {
		a.chain = append(a.chain, PartKey(p))
	}
	body := waveName
	if len(a.parts) > 0 {
		w.nextID++
		body = fmt.Sprint(w.nextID)
	}
	a.chain = append(a.chain, RequestKey("org", "/wave", []byte(body)))
	return a
}

// runWave lets an attempt of a wave crash its engine after the wave's delay.
func (w *world) runWave(a *worldAttempt) {
	v := w.wave
	w.arrivals[waveName] = append(w.arrivals[waveName], w.now)
	if w.now < v.badFrom || v.mendedAt > 0 && w.now >= v.mendedAt {
		return
	}
	a.badPart = waveName
	if v.moveAfter > 0 {
		a.moveAt = w.now + v.moveAfter
	}
	a.crashesAt = w.now + v.delay
	if v.jitter > 0 {
		a.crashesAt += w.random(int(v.jitter / time.Millisecond))
	}
	a.begins, a.ends = a.crashesAt+time.Hour, a.crashesAt+time.Hour
}

// hotRequest is the request that a share of all sound requests equals.
var hotRequest = Chain{RequestKey("org", "/hot", nil)}

// waveWorld returns a plain service beside a wave: sound requests have no parts.
func waveWorld(nodes, engines int, seed uint64, v *wave) *world {
	return newWorld(worldSpec{
		nodes: nodes, engines: engines, soundPerSecond: float64(max(2*nodes, 30)), seed: seed, lost: 0.02, wave: v,
		sound: func(*rand.Rand) []string { return nil }, bad: func(*rand.Rand) []string { return nil },
		isBad: func(string, time.Duration) bool { return false },
	})
}

// waveCases are the waves that are played, and the services that they meet. HICKORYBANK_WAVES=all
// plays all of them, at more nodes.
var waveCases = struct {
	nodes, engines, together []int
	pauses                   []time.Duration
	// delays are the times until a crash in ms, and the jitter beyond.
	delays [][2]time.Duration
}{
	[]int{8}, []int{1, 2, 3, 4, 18}, []int{1, 4, 8},
	[]time.Duration{3500 * time.Millisecond, 10 * time.Second, 30 * time.Second},
	[][2]time.Duration{{5, 0}, {44, 0}, {20, 60}},
}

func init() {
	if os.Getenv("HICKORYBANK_WAVES") == "all" {
		waveCases.nodes, waveCases.together = []int{4, 8, 40}, []int{1, 2, 3, 4, 8}
		waveCases.pauses = append(waveCases.pauses, time.Second)
		waveCases.delays = append(waveCases.delays, [2]time.Duration{500, 0})
	}
}

// Fails if a request that is sent several times at once crashes a small service in waves.
func TestRequestThatCrashesInWaves(t *testing.T) { playAllWaves(t, nil, costlyStrikes, false) }

// Fails if a request that was answered before it turned bad crashes a small service in waves.
func TestAnsweredRequestThatCrashesInWaves(t *testing.T) { playAllWaves(t, nil, costlyStrikes, true) }

// Fails if requests that share a part and are sent at once crash a service in waves.
func TestPartThatCrashesInWaves(t *testing.T) {
	playAllWaves(t, []string{"first", "bad"}, partCrashes, false)
}

// Fails if requests with a part that was answered before it turned bad crash a service in waves.
func TestAnsweredPartThatCrashesInWaves(t *testing.T) {
	playAllWaves(t, []string{"first", "bad"}, partCrashes, true)
}

func playAllWaves(t *testing.T, parts []string, crashes int, answered bool) {
	for _, nodes := range waveCases.nodes {
		for _, engines := range waveCases.engines {
			t.Run(fmt.Sprintf("%d nodes, %d engines", nodes, engines), func(t *testing.T) {
				t.Parallel()
				playWaves(t, nodes, engines, parts, crashes, answered)
			})
		}
	}
}

// playWaves plays the waves. From lateAfter after a number of crashes on, at most three runs may be
// sent to engines. The first of them is answered if asked for.
func playWaves(t *testing.T, nodes, engines int, parts []string, crashes int, answered bool) {
	const maxLate = 3
	failed, plays, worst := 0, 0, 0
	for _, together := range waveCases.together {
		for _, pause := range waveCases.pauses {
			for _, delay := range waveCases.delays {
				v := &wave{together: together, pause: pause, until: time.Second + 6*pause, parts: parts, delay: delay[0] * time.Millisecond, jitter: delay[1] * time.Millisecond}
				if answered {
					v.badFrom = time.Second + pause
				}
				w := waveWorld(nodes, engines, uint64(together)+uint64(pause), v)
				w.run(v.until + time.Second)
				late := w.late(waveName, crashes, lateAfter)
				plays, worst = plays+1, max(worst, late)
				if late > maxLate {
					failed++
					t.Errorf("%d together each %v, crashes after %d ms and up to %d more: %d late, %d may; %d crashes",
						together, pause, delay[0], delay[1], late, maxLate, len(w.crashes[waveName]))
				}
			}
		}
	}
	t.Logf("%d of %d plays failed, %d late at the worst", failed, plays, worst)
}

// Fails if a request that crashed engines in waves stays refused after it was mended.
func TestMendedRequestIsServedAfterWaves(t *testing.T) {
	for _, together := range []int{1, 3, 8} {
		for _, pause := range []time.Duration{time.Second, 3500 * time.Millisecond} {
			v := &wave{together: together, pause: pause, until: 60 * time.Second, delay: 44 * time.Millisecond, mendedAt: 8 * time.Second}
			w := waveWorld(8, 4, 1, v)
			w.run(v.until)
			for i, g := range w.guards {
				if len(g.Blocking(w.waveAttempt(0).chain, w.time())) > 0 {
					t.Errorf("%d together each %v: node %d still refuses the request", together, pause, i)
				}
			}
		}
	}
}

// Fails if half of the nodes, cut off from the others, let waves through.
func TestRequestThatCrashesInWavesAtBothSidesOfACut(t *testing.T) {
	const maxLate = 3 // on each side
	for _, together := range []int{3, 8} {
		v := &wave{together: together, pause: 3500 * time.Millisecond, until: 40 * time.Second, delay: 44 * time.Millisecond}
		w := waveWorld(8, 4, 1, v)
		w.cutNodes, w.cutFrom, w.cutUntil = 4, 900*time.Millisecond, 20*time.Second
		w.run(v.until)
		late := w.late(waveName, costlyStrikes, lateAfter)
		t.Logf("%d together: %d late of both sides", together, late)
		if late > 2*maxLate {
			t.Errorf("%d together: %d late, %d may", together, late, 2*maxLate)
		}
	}
}

// Fails if nodes that start between the waves of a request, and know of the earlier ones what a seed
// reports, let further waves through.
func TestRequestThatCrashesInWavesWhileNodesStart(t *testing.T) {
	const maxLate = 3
	pause := 3500 * time.Millisecond
	for _, together := range []int{1, 3, 8} {
		for _, answered := range []bool{false, true} {
			v := &wave{together: together, pause: pause, until: time.Second + 8*pause, delay: 44 * time.Millisecond}
			if answered {
				v.badFrom = time.Second + pause
			}
			w := waveWorld(8, 4, 1, v)
			w.lost = 0.2
			for next := pause; next < v.until; next += pause {
				w.run(next) // a second before the next wave
				for i := range w.nodes / 2 {
					w.guards[i] = New()
					w.guards[i].Merge(w.guards[w.nodes/2+i].Report(w.time()), w.time()) // its seed's answer
				}
			}
			w.run(v.until)
			late := w.late(waveName, costlyStrikes, lateAfter)
			t.Logf("%d together, answered before: %v: %d late", together, answered, late)
			if late > maxLate {
				t.Errorf("%d together, answered before: %v: %d late, %d may", together, answered, late, maxLate)
			}
		}
	}
}
