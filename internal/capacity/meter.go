package capacity

import (
	"runtime"
	"syscall"
	"time"
)

// Meter measures processor time and memory of this process.
type Meter struct {
	// Span is the least processor time of one round.
	Span time.Duration
	// Rounds are measured; the least counts, since other work on the machine
	// only ever adds.
	Rounds int
	// Window is how long fleets are watched, in time of the clock.
	Window time.Duration
}

// The meters of a full and of a quick run.
var (
	FullMeter  = Meter{Span: 50 * time.Millisecond, Rounds: 4, Window: 2500 * time.Millisecond}
	QuickMeter = Meter{Span: 5 * time.Millisecond, Rounds: 2, Window: 500 * time.Millisecond}
)

// mostRepeats bounds a round whose work takes next to no time.
const mostRepeats = 1 << 24

// CPU returns the processor time of one repetition in nanoseconds; run does
// its work n times.
func (m Meter) CPU(run func(n int)) float64 {
	n := m.calibrate(run)
	best := -1.0
	for range m.Rounds {
		runtime.GC()
		per := float64(processorTime(func() { run(n) })) / float64(n)
		if best < 0 || per < best {
			best = per
		}
	}
	return best
}

// calibrate finds how many repetitions fill the span.
func (m Meter) calibrate(run func(n int)) int {
	n := 1
	for n < mostRepeats {
		took := processorTime(func() { run(n) })
		if took >= m.Span {
			break
		}
		if took < m.Span/20 {
			n *= 10
			continue
		}
		n = max(n+1, int(float64(n)*1.1*float64(m.Span)/float64(took)))
	}
	return n
}

// PerSecond returns the processor time that this process takes in a second,
// in nanoseconds, while others of its goroutines work.
func (m Meter) PerSecond() float64 {
	return m.growth(func() float64 { return float64(used()) })
}

// growth is how much a count grows a second. It is the mean over the window:
// calls that are held come in bursts.
func (m Meter) growth(count func() float64) float64 {
	before, began := count(), time.Now()
	time.Sleep(m.Window)
	return (count() - before) / time.Since(began).Seconds()
}

// processorTime is the user and system time of this process while run works.
func processorTime(run func()) time.Duration {
	before := used()
	run()
	return used() - before
}

func used() time.Duration {
	var r syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &r); err != nil {
		panic(err) // the arguments are constants
	}
	return time.Duration(r.Utime.Nano() + r.Stime.Nano())
}

// Heap returns the live heap of what build returns, in bytes.
func (m Meter) Heap(build func() any) float64 {
	before := liveHeap()
	kept := build()
	after := liveHeap()
	runtime.KeepAlive(kept)
	return max(0, float64(after)-float64(before))
}

func liveHeap() uint64 {
	runtime.GC()
	runtime.GC()
	var s runtime.MemStats
	runtime.ReadMemStats(&s)
	return s.HeapAlloc
}
